"""The generated text: a deterministic function of the model and the prompt.

Each word of a prompt counts as one token.
"""

from collections.abc import Hashable
from typing import Any

import attrs
import msgspec
import xxhash

from ...admission import prompt_text
from ._work import BLOCK_TOKENS

DEFAULT_MAX_TOKENS = 128
MIN_OUTPUT_TOKENS = 16
MAX_OUTPUT_TOKENS = 128


@attrs.frozen
class Generation:
    """The output that the engine generates for one request.

    ``tokens`` is the number of output tokens. ``seed`` identifies the model and the
    prompt.
    """

    model: str
    seed: int
    prompt_words: tuple[str, ...]
    tokens: int
    finish_reason: str

    def text(self, first: int, last: int) -> str:
        """Returns the text of the tokens from ``first`` up to ``last``, exclusive."""
        return "".join(token_text(self.seed, number) for number in range(first, last))

    @property
    def blocks(self) -> tuple[Hashable, ...]:
        """The keys of the prompt's full cache blocks."""
        digest = xxhash.xxh64(self.model.encode())
        keys = []
        for end in range(BLOCK_TOKENS, len(self.prompt_words) + 1, BLOCK_TOKENS):
            words = self.prompt_words[end - BLOCK_TOKENS : end]
            digest.update((" ".join(words) + "\n").encode())
            keys.append(digest.intdigest())
        return tuple(keys)


def token_text(seed: int, number: int) -> str:
    """Returns the text of one token; all but the first begin with a space."""
    word = xxhash.xxh32_hexdigest(f"{seed}/{number}".encode())[:6]
    return word if number == 0 else f" {word}"


def generation_for(fields: dict[str, Any]) -> Generation:
    """Returns the output for a request's JSON fields.

    The output has between 16 and 128 tokens, or fewer if the request's limit is
    lower. With ``ignore_eos`` it has as many tokens as the limit.
    """
    text = prompt_text(fields)
    model = str(fields.get("model", ""))
    seed = xxhash.xxh64_intdigest(f"{model}\n{text}".encode())
    limit = fields.get("max_completion_tokens") or fields.get("max_tokens")
    limit = int(limit or DEFAULT_MAX_TOKENS)
    span = MAX_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS + 1
    length = MIN_OUTPUT_TOKENS + seed % span
    if fields.get("ignore_eos"):
        length = limit
    reason = "stop" if length <= limit else "length"
    words = tuple(text.split()) or ("",)
    return Generation(model, seed, words, min(length, limit), reason)


def expected_answer(body: bytes | dict[str, Any]) -> str:
    """Returns the complete text that an engine generates for a request's body."""
    fields = msgspec.json.decode(body) if isinstance(body, bytes) else body
    generation = generation_for(fields)
    return generation.text(0, generation.tokens)
