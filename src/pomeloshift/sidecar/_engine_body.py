"""Receives the body of an engine's response."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from ..dispatch import MAX_EVENT_BYTES, OversizedEventError

EVENT_END = b"\n\n"
END_MARKER = b"data: [DONE]"
TOKEN_MARKERS = (b'"finish_reason":null', b'"finish_reason": null')

OnChunk = Callable[[bytes, int], None]


class EngineBody(Protocol):
    """Passes the complete events of each received segment to ``on_chunk``.

    Events are not decoded: each event whose finish reason is null counts as one
    token. A body that is not an event stream is passed on unchanged.
    """

    def __init__(self, on_chunk: OnChunk, is_event_stream: bool) -> None:
        self.ended: Deferred[bool] = Deferred()
        self._on_chunk = on_chunk
        self._is_event_stream = is_event_stream
        self._buffer = bytearray()
        self._has_end_marker = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes a segment of the body."""
        if not self._is_event_stream:
            self._on_chunk(data, 0)
            return
        if self.ended.called:
            return
        # The end of an event may be split between two segments.
        searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += data
        end = self._buffer.rfind(EVENT_END, searched)
        if end < 0:
            self._check_size()
            return
        end += len(EVENT_END)
        payload = bytes(self._buffer[:end])
        del self._buffer[:end]
        if END_MARKER in payload[-len(END_MARKER) - len(EVENT_END) :]:
            self._has_end_marker = True
        self._on_chunk(payload, count_tokens(payload))

    def _check_size(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._buffer.clear()
            transport: Any = self.transport
            transport.loseConnection()
            self.ended.errback(
                OversizedEventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            )

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fires ``ended`` with whether the body is complete, or with the failure."""
        if self.ended.called:
            return
        if reason is None or not reason.check(ResponseDone):
            self.ended.errback(reason)
            return
        self.ended.callback(self._has_end_marker or not self._is_event_stream)


def count_tokens(payload: bytes) -> int:
    """Returns the number of events in ``payload`` that contain a token."""
    return sum(payload.count(marker) for marker in TOKEN_MARKERS)


def receive(response: Any, on_chunk: OnChunk, is_event_stream: bool) -> Deferred[bool]:
    """Reads a response's body; fires with whether it is complete."""
    body = EngineBody(on_chunk, is_event_stream)
    response.deliverBody(body)
    return body.ended
