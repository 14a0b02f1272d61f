"""Receives the body of an engine's answer."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

EVENT_END = b"\n\n"
END_MARKER = b"data: [DONE]"
TOKEN_MARKS = (b'"finish_reason":null', b'"finish_reason": null')

OnChunk = Callable[[bytes, int], None]


class EngineBody(Protocol):
    """Hands on whole events, as many as each received segment completes.

    Events are not decoded: a token is counted for each event whose finish reason is
    null. Bodies that are not event streams are handed on as they come.
    """

    def __init__(self, on_chunk: OnChunk, is_event_stream: bool) -> None:
        self.ended: Deferred[bool] = Deferred()
        self._on_chunk = on_chunk
        self._is_event_stream = is_event_stream
        self._rest = b""
        self._saw_end = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes a segment of the body."""
        if not self._is_event_stream:
            self._on_chunk(data, 0)
            return
        pending = self._rest + data
        end = pending.rfind(EVENT_END)
        if end < 0:
            self._rest = pending
            return
        end += len(EVENT_END)
        payload, self._rest = pending[:end], pending[end:]
        if END_MARKER in payload[-len(END_MARKER) - len(EVENT_END) :]:
            self._saw_end = True
        self._on_chunk(payload, count_tokens(payload))

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fires ``ended`` with whether the body is whole, or with the failure."""
        if reason is None or not reason.check(ResponseDone):
            self.ended.errback(reason)
            return
        self.ended.callback(self._saw_end or not self._is_event_stream)


def count_tokens(payload: bytes) -> int:
    """Returns the number of events in ``payload`` that carry a token."""
    return sum(payload.count(mark) for mark in TOKEN_MARKS)


def receive(response: Any, on_chunk: OnChunk, is_event_stream: bool) -> Deferred[bool]:
    """Delivers a response's body and returns what fires at its end."""
    body = EngineBody(on_chunk, is_event_stream)
    response.deliverBody(body)
    return body.ended
