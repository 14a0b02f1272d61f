"""The messages that sidecars and entries exchange, and their encoding."""

from ._attempt import AttemptRequest
from ._codec import decode_message, encode_message
from ._errors import WireError
from ._frame import MAX_FRAME_BYTES, Frame, FrameReader, encode_frame
from ._messages import (
    Acknowledgement,
    ConfigDocument,
    ConfigPull,
    EntryReport,
    GrantedItem,
    ItemGrants,
    ItemOutcome,
    ItemPull,
    ItemResults,
    LeaseRelease,
    Refusal,
    SidecarReport,
    SuspectNotice,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "Acknowledgement",
    "AttemptRequest",
    "ConfigDocument",
    "ConfigPull",
    "EntryReport",
    "Frame",
    "FrameReader",
    "GrantedItem",
    "ItemGrants",
    "ItemOutcome",
    "ItemPull",
    "ItemResults",
    "LeaseRelease",
    "Refusal",
    "SidecarReport",
    "SuspectNotice",
    "WireError",
    "decode_message",
    "encode_frame",
    "encode_message",
]
