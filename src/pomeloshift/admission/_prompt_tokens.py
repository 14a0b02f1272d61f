"""Counts the tokens of a prompt without the model's tokenizer."""

from typing import Any

import msgspec

WORD_SEPARATOR = " "


def prompt_text(fields: dict[str, Any]) -> str:
    """Returns the prompt of a chat or completion request as one text.

    Of a content that is a list of parts, the ``text`` parts are joined.
    """
    if "messages" in fields:
        contents = (_content_text(m) for m in fields["messages"])
        return "\n".join(contents)
    prompt = fields.get("prompt", "")
    if isinstance(prompt, list):
        return "\n".join(str(part) for part in prompt)
    return str(prompt)


def count_prompt_tokens(body: bytes | dict[str, Any]) -> int:
    """Returns the number of whitespace-separated words of the prompt, at least 1.

    >>> count_prompt_tokens({"prompt": "set the stitch length"})
    4
    """
    fields = msgspec.json.decode(body) if isinstance(body, bytes) else body
    if not isinstance(fields, dict):
        return 1
    return max(1, len(prompt_text(fields).split()))


def _content_text(message: Any) -> str:
    content = message.get("content", "") if isinstance(message, dict) else message
    if isinstance(content, list):
        parts = (p.get("text", "") for p in content if isinstance(p, dict))
        return WORD_SEPARATOR.join(parts)
    return str(content or "")
