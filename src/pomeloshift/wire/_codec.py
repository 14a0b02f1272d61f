"""Encodes control messages as MessagePack with a type name in front."""

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

_types_by_name = {kind.__name__: kind for kind in MESSAGE_TYPES}
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def encode_message(message: Any) -> bytes:
    """Returns a control message as bytes."""
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_message(data: bytes) -> Any:
    """Returns the control message in ``data``; raises `WireError` if there is none."""
    try:
        name, body = _envelope.decode(data)
        kind = _types_by_name[name]
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, KeyError) as exc:
        raise WireError(f"a control message cannot be read: {exc}") from exc
