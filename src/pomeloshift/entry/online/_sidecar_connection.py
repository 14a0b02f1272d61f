"""One connection from an entry to a sidecar for an attempt."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import RequestNotSent

from ...attempts import (
    AttemptAccepted,
    AttemptRefused,
    ConnectionLost,
    FrameArrived,
    OnlineEvent,
)
from ...errors import ErrorCode, ErrorReport, Ran
from ...wire import FrameReader, WireError
from ._short_body import read_short_body

STATUS_OK = 200
NEVER_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, RequestNotSent)

OnEvent = Callable[[OnlineEvent], None]


class SidecarConnection:
    """Converts the response of a sidecar into events of the request's core.

    ``number`` identifies the connection in its events. After `close` no event is
    delivered.
    """

    def __init__(self, number: int, on_event: OnEvent) -> None:
        self._number = number
        self._on_event: OnEvent | None = on_event
        self._response: Deferred[Any] | None = None
        self._body: FrameBody | None = None

    def begin(self, response: Deferred[Any]) -> None:
        """Handles ``response``, which fires with the sidecar's response."""
        self._response = response
        response.addCallbacks(self._on_response, self._on_failure)
        response.addErrback(self._on_failure)

    def emit(self, event: OnlineEvent) -> None:
        """Passes an event to the core unless the connection was closed."""
        if self._on_event is not None:
            self._on_event(event)

    def close(self) -> None:
        """Closes the connection at once, also before the response has arrived."""
        self._on_event = None
        if self._body is not None:
            self._body.stop()
        elif self._response is not None:
            self._response.cancel()

    def pause(self) -> None:
        """Pauses reading, as back-pressure on the sidecar."""
        if self._body is not None:
            self._body.pause()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        if self._body is not None:
            self._body.resume()

    def _on_response(self, response: Any) -> Any:
        if response.code == STATUS_OK:
            self.emit(AttemptAccepted(self._number))
            self._body = FrameBody(self._number, self.emit)
            response.deliverBody(self._body)
            if self._on_event is None:
                self._body.stop()
            return None
        body: Deferred[Any] = read_short_body(response)
        body.addCallback(self._on_rejection, response.code)
        return body

    def _on_rejection(self, data: bytes, status: int) -> None:
        error = _decode_error(data, status)
        self.emit(AttemptRefused(self._number, error))

    def _on_failure(self, failure: Failure) -> None:
        was_sent = failure.check(*NEVER_SENT) is None
        self.emit(ConnectionLost(self._number, was_sent))


class FrameBody(Protocol):
    """Decodes frames from the body of a response."""

    def __init__(self, number: int, emit: OnEvent) -> None:
        self._number = number
        self._emit = emit
        self._reader = FrameReader()
        self._stopped = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Emits the frames that the segment completes."""
        try:
            frames = self._reader.feed(data)
        except WireError:
            self.stop()
            self._emit(ConnectionLost(self._number))
            return
        for frame in frames:
            self._emit(FrameArrived(self._number, frame))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reports the end of the body; the core knows if the response is complete."""
        if not self._stopped:
            self._emit(ConnectionLost(self._number))

    def stop(self) -> None:
        """Closes the connection: reuse would require reading the rest of the body."""
        self._stopped = True
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def pause(self) -> None:
        """Pauses reading, as back-pressure on the sidecar."""
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()


def _decode_error(data: bytes, status: int) -> ErrorReport:
    try:
        return msgspec.msgpack.decode(data, type=ErrorReport)
    except msgspec.MsgspecError:
        message = f"the sidecar responded with status {status} and no decodable error"
        return ErrorReport(ErrorCode.PROTOCOL_ERROR, message, Ran.UNKNOWN)
