"""Decodes the records and reports of engines."""

import math

import msgspec

from ..dispatch import EngineLoad, EngineRecord, EngineReport
from ..http1 import Headers
from ._address import is_count, is_socket_address
from ._errors import UNREADABLE, MalformedError
from ._names import SERVER_LEAVING, SERVER_LIMIT, SERVER_LOAD

STATES = ("serving", "draining")
# No engine runs more requests than it has connections.
MAX_SLOTS = 65_535
# Times and counts beyond this do not fit into the records and datagrams of gateways.
MAX_INTEGER = 2**53
# Longer names do not fit into the keys of records.
MAX_NAME_CHARS = 128
# A machine that is a thousand times slower than usual is useless, however much slower.
MAX_SLOWDOWN_PERCENT = 100_000
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
    # How much longer the engine stays slow after its start, in milliseconds.
    cold_left_ms: float = 0.0


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
    fault = _fault(wire)
    if fault:
        raise MalformedError(f"the entry of {engine_id} names no engine: {fault}")
    return EngineRecord(
        id=engine_id,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        incarnation=wire.born,
        version=wire.version,
        cold_left_s=wire.cold_left_ms / 1000,
    )


def _fault(wire: _Entry) -> str:
    """Returns what makes an entry unusable, empty if nothing does."""
    if wire.state not in STATES:
        return f"its state is {wire.state[:MAX_NAME_CHARS]!r}"
    if not is_socket_address(wire.address):
        return f"its address is {wire.address[:MAX_NAME_CHARS]!r}"
    if not 1 <= wire.slots <= MAX_SLOTS:
        return "its number of slots is out of range"
    if not 0 <= wire.born <= MAX_INTEGER:
        return "the time of its start is out of range"
    if not 0 <= wire.cold_left_ms <= MAX_INTEGER:
        return "the time for which it stays slow is out of range"
    if max(map(len, (wire.service, wire.zone, wire.version))) > MAX_NAME_CHARS:
        return "a name is too long"
    return ""


def decode_report(value: bytes, slots: int) -> EngineReport:
    """Returns what an engine reports; raises `MalformedError`."""
    try:
        wire = _REPORT_DECODER.decode(value)
    except UNREADABLE as exc:
        raise MalformedError(f"the report cannot be read: {exc}") from exc
    if not all(0 <= n <= MAX_INTEGER for n in (wire.running, wire.waiting, wire.born)):
        raise MalformedError("a number in the report is out of range")
    return EngineReport(EngineLoad(wire.running, wire.waiting, slots), wire.born)


def decode_load_header(headers: Headers) -> EngineLoad | None:
    """Returns the load in an engine's response headers, or `None`.

    A slowdown that is out of range does not count, while the other figures do.
    """
    value = headers.text(SERVER_LOAD)
    parts = [part.strip() for part in value.split(",")]
    if len(parts) not in (3, 4) or not all(map(is_count, parts[:3])):
        return None
    running, waiting, slots = map(int, parts[:3])
    return EngineLoad(running, waiting, slots, _slowdown(parts[3:]))


def _slowdown(parts: list[str]) -> float | None:
    """Returns the fourth figure of a load, in which 100 stands for the usual pace."""
    if not parts or not is_count(parts[0]):
        return None
    percent = int(parts[0])
    return percent / 100 if 0 < percent <= MAX_SLOWDOWN_PERCENT else None


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
