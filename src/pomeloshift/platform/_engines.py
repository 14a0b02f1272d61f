"""Decodes the records and reports of engines."""

import math

import msgspec

from ..dispatch import EngineLoad, EngineRecord, EngineReport
from ..http1 import Headers
from ._errors import UNREADABLE, MalformedError
from ._names import SERVER_LEAVING, SERVER_LIMIT, SERVER_LOAD

STATES = ("serving", "draining")
# Numbers with more digits are neither ports nor counts.
MAX_DIGITS = 18
# The longest decimal form of a double has 24 characters.
MAX_DECIMAL_CHARS = 32


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    # Of the software; each model has a version of its own.
    version: str
    slots: int
    state: str
    # Start time of the engine in Unix milliseconds: its incarnation.
    born: int = 0


class _Report(msgspec.Struct, rename="camel"):
    waiting: int
    running: int
    # As in `_Entry`.
    born: int = 0


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode_engine(engine_id: str, value: bytes) -> EngineRecord:
    """Returns an engine's record; raises `MalformedError` if it is not usable."""
    try:
        wire = _ENTRY_DECODER.decode(value)
    except UNREADABLE as exc:
        raise MalformedError(f"the entry of {engine_id} cannot be read: {exc}") from exc
    host, _, port = wire.address.rpartition(":")
    if wire.state not in STATES or not host or not _is_count(port) or wire.slots < 1:
        raise MalformedError(f"the entry of {engine_id} names no engine to use")
    return EngineRecord(
        id=engine_id,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        incarnation=wire.born,
        version=wire.version,
    )


def decode_report(value: bytes, slots: int) -> EngineReport:
    """Returns what an engine reports; raises `MalformedError`."""
    try:
        wire = _REPORT_DECODER.decode(value)
    except UNREADABLE as exc:
        raise MalformedError(f"the report cannot be read: {exc}") from exc
    return EngineReport(EngineLoad(wire.running, wire.waiting, slots), wire.born)


def decode_load_header(headers: Headers) -> EngineLoad | None:
    """Returns the load in an engine's response headers, or `None`."""
    value = headers.text(SERVER_LOAD)
    parts = value.split(",")
    if len(parts) != 3 or not all(_is_count(part.strip()) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return EngineLoad(running, waiting, slots)


def decode_limit_header(headers: Headers) -> float | None:
    """Returns the requests a second that an engine takes, None if it names no limit."""
    value = headers.text(SERVER_LIMIT)
    if len(value) > MAX_DECIMAL_CHARS:
        return None
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def says_leaving(headers: Headers) -> bool:
    """Returns whether a response states that its engine is about to exit."""
    return headers.text(SERVER_LEAVING).strip() == "1"


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
