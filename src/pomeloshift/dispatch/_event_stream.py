"""Splits a stream of server-sent events into complete events."""

import attrs


@attrs.frozen
class StreamEvent:
    """One complete event: its bytes on the wire, its id and its data.

    ``id`` is None if the event has none or if it is not a decimal number.
    """

    raw: bytes
    id: int | None
    data: bytes

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
                event_id = int(value) if value.isdigit() else None
        return cls(raw, event_id, b"\n".join(data))


@attrs.define
class EventSplitter:
    """Buffers the bytes of an incomplete event until the rest arrives.

    EventSplitter().feed(b"id: 1\\ndata: a\\n\\nid: 2")  # one event
    """

    _rest: bytes = b""

    @property
    def rest(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that ``data`` completes, in order."""
        buffer = self._rest + data
        events = []
        while (end := _end_of_event(buffer)) > 0:
            events.append(StreamEvent.parse(buffer[:end]))
            buffer = buffer[end:]
        self._rest = buffer
        return events


def _end_of_event(buffer: bytes) -> int:
    """Returns the length of the first complete event, 0 if there is none."""
    ends = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        at = buffer.find(separator)
        if at >= 0:
            ends.append(at + len(separator))
    return min(ends, default=0)
