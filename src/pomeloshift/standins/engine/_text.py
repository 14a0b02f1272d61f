"""The generated text: a fixed function of the model and the prompt."""

from collections.abc import Hashable
from typing import Any

import attrs
import msgspec
import xxhash

from ...admission import prompt_text
from ._work import BLOCK_TOKENS

DEFAULT_MAX_TOKENS = 128
SHORTEST_ANSWER_TOKENS = 16
LONGEST_ANSWER_TOKENS = 128


@attrs.frozen
class Generation:
    """What the engine answers to one request."""

    model: str
    seed: int
    prompt_words: tuple[str, ...]
    tokens: int
    finish_reason: str

    def text(self, first: int, last: int) -> str:
        """Returns the tokens from number ``first`` up to, but not with, ``last``."""
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
    """Returns the text of one generated token, with its leading space if any."""
    word = xxhash.xxh32_hexdigest(f"{seed}/{number}".encode())[:6]
    return word if number == 0 else f" {word}"


def generation_for(fields: dict[str, Any]) -> Generation:
    """Works out the answer to a request's JSON fields.

    The answer has between 16 and 128 tokens, cut at the request's limit; with
    ``ignore_eos`` it has exactly as many as the limit.
    """
    text = prompt_text(fields)
    model = str(fields.get("model", ""))
    seed = xxhash.xxh64_intdigest(f"{model}\n{text}".encode())
    limit = fields.get("max_completion_tokens") or fields.get("max_tokens")
    limit = int(limit or DEFAULT_MAX_TOKENS)
    span = LONGEST_ANSWER_TOKENS - SHORTEST_ANSWER_TOKENS + 1
    natural = SHORTEST_ANSWER_TOKENS + seed % span
    if fields.get("ignore_eos"):
        natural = limit
    reason = "stop" if natural <= limit else "length"
    words = tuple(text.split()) or ("",)
    return Generation(model, seed, words, min(natural, limit), reason)


def expected_answer(body: bytes | dict[str, Any]) -> str:
    """Returns the whole text that an engine generates for a request's body."""
    fields = msgspec.json.decode(body) if isinstance(body, bytes) else body
    generation = generation_for(fields)
    return generation.text(0, generation.tokens)
