"""Parses the fields of a model call that the entry needs."""

from typing import Any

import attrs
import msgspec
import xxhash

from ...admission import count_prompt_tokens, prompt_text
from ...net._http import InvalidRequestError

PREFIX_CHARACTERS = 256
MAX_TOKENS_FIELDS = ("max_completion_tokens", "max_tokens")


@attrs.frozen
class ModelCall:
    """The fields of a chat or completion request that decide how it is run.

    ``max_tokens`` is `None` if the request has no limit. ``prefix`` is a digest of
    the first characters of the prompt, for routing by prefix cache.
    """

    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int | None
    prefix: str


def read_model_call(body: bytes, prompt_field: str) -> ModelCall:
    """Parses a request body; raises `InvalidRequestError`.

    ``prompt_field`` is the name of the required field that contains the prompt.
    """
    fields = _read_object(body)
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidRequestError("the field 'model' must be a model's name")
    if not fields.get(prompt_field):
        raise InvalidRequestError(f"the field '{prompt_field}' is missing or empty")
    _check_messages(fields)
    text = prompt_text(fields)
    return ModelCall(
        model,
        bool(fields.get("stream", False)),
        count_prompt_tokens(fields),
        _max_tokens(fields),
        xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS].encode()),
    )


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidRequestError(f"the body is not JSON: {exc}") from exc
    if not isinstance(fields, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return fields


def _check_messages(fields: dict[str, Any]) -> None:
    messages = fields.get("messages")
    if messages is None:
        return
    if not isinstance(messages, list):
        raise InvalidRequestError("the field 'messages' must be a list")
    if not all(isinstance(message, dict) for message in messages):
        raise InvalidRequestError("each item of 'messages' must be an object")


def _max_tokens(fields: dict[str, Any]) -> int | None:
    for name in MAX_TOKENS_FIELDS:
        value = fields.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise InvalidRequestError(
                f"the field '{name}' must be an integer of 1 or more"
            )
        return value
    return None
