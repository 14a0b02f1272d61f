"""Splits a stream of server-sent events into complete events."""

import re

import attrs

from ..errors import ErrorCode, PomeloshiftError, Ran

# The media type of a stream of events.
EVENT_STREAM = "text/event-stream"
# Limit of the bytes of an incomplete event, which holds a few tokens.
MAX_EVENT_BYTES = 256 * 1024
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
MAX_EVENT_END_BYTES = 4
# `int()` rejects very long numbers; an id with more digits is ignored.
MAX_ID_DIGITS = 18
# The fields of an event, with the empty name of a comment and of the last line. Engines
# add fields with names of headers in lower case.
KNOWN_FIELDS = frozenset({b"", b"id", b"data", b"event", b"retry"})
FIELD_NAME = re.compile(rb"[a-z][a-z0-9_-]*")


@attrs.frozen
class StreamEvent:
    """One complete event: its bytes on the wire, its id and its data.

    ``id`` is None if the event has none or if it is not a decimal number.
    ``is_malformed`` is set if its lines are not those of an event, as where the head of
    an HTTP response follows a part of one.
    """

    raw: bytes
    id: int | None
    data: bytes
    is_malformed: bool = False

    @property
    def is_comment(self) -> bool:
        """Whether the event has no field."""
        lines = self.raw.splitlines()
        return all(not line or line.startswith(b":") for line in lines)

    @classmethod
    def parse(cls, raw: bytes) -> "StreamEvent":
        """Parses the ``id`` and ``data`` fields of one event; ignores others."""
        event_id: int | None = None
        data: list[bytes] = []
        for line in raw.splitlines():
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                data.append(value)
            elif name == b"id":
                is_count = value.isdigit() and len(value) <= MAX_ID_DIGITS
                event_id = int(value) if is_count else None
        return cls(raw, event_id, b"\n".join(data), _is_malformed(raw))


def _is_malformed(raw: bytes) -> bool:
    has_other_ends = raw.endswith(b"\r\n\r\n") and (
        raw.count(b"\n") != raw.count(b"\r\n")
    )
    names = {line.partition(b":")[0].rstrip(b"\r") for line in raw.split(b"\n")}
    unknown = names - KNOWN_FIELDS
    return has_other_ends or not all(map(FIELD_NAME.fullmatch, unknown))


class OversizedEventError(PomeloshiftError):
    """A stream contains more than `MAX_EVENT_BYTES` without a complete event."""

    code = ErrorCode.BACKEND_SERVER_LOST
    ran = Ran.YES


@attrs.define
class EventSplitter:
    """Buffers the bytes of an incomplete event until the rest arrives.

    EventSplitter().feed(b"id: 1\\ndata: a\\n\\nid: 2")  # one event
    """

    _buffer: bytearray = attrs.field(factory=bytearray)
    _searched: int = 0

    @property
    def rest(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that ``data`` completes, in order.

        Raises `OversizedEventError` if ``data`` completes none and the incomplete event
        exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        begin = 0
        while match := EVENT_END.search(self._buffer, max(begin, self._searched)):
            events.append(StreamEvent.parse(bytes(self._buffer[begin : match.end()])))
            begin = match.end()
        del self._buffer[:begin]
        # The end of an event may be split between two calls.
        self._searched = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        if not events and len(self._buffer) > MAX_EVENT_BYTES:
            raise OversizedEventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events
