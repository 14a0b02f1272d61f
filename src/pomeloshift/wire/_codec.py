"""Encodes control messages as MessagePack arrays of type name and fields."""

from typing import Any

import msgspec

from ._errors import WireError
from ._messages import (
    Acknowledgement,
    ConfigDocument,
    ConfigPull,
    EntryReport,
    ItemGrants,
    ItemPull,
    ItemResults,
    LeaseRelease,
    Refusal,
    SidecarReport,
)

MESSAGE_TYPES: tuple[type, ...] = (
    Acknowledgement,
    ConfigDocument,
    ConfigPull,
    EntryReport,
    ItemGrants,
    ItemPull,
    ItemResults,
    LeaseRelease,
    Refusal,
    SidecarReport,
)

_types_by_name = {message_type.__name__: message_type for message_type in MESSAGE_TYPES}
_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def encode_message(message: Any) -> bytes:
    """Returns the encoded form of one of the `MESSAGE_TYPES`."""
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_message(data: bytes) -> Any:
    """Returns the control message in ``data``.

    Raises `WireError` if ``data`` is malformed or its type is not a message type.
    """
    try:
        type_name, body = _envelope_decoder.decode(data)
        message_type = _types_by_name[type_name]
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.DecodeError, KeyError) as exc:
        raise WireError(f"cannot decode control message: {exc}") from exc
