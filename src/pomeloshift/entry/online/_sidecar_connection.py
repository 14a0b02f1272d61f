"""One exchange between an entry and a sidecar about an attempt."""

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
    """Turns what happens on one exchange into events of the request's core.

    After `close` no event is delivered.
    """

    def __init__(self, number: int, on_event: OnEvent) -> None:
        self._number = number
        self._on_event: OnEvent | None = on_event
        self._response: Deferred[Any] | None = None
        self._body: FrameBody | None = None

    def begin(self, response: Deferred[Any]) -> None:
        """Waits for the response to an order that was sent."""
        self._response = response
        response.addCallbacks(self._take_response, self._take_failure)
        response.addErrback(self._take_failure)

    def emit(self, event: OnlineEvent) -> None:
        """Hands an event on unless the exchange was closed."""
        if self._on_event is not None:
            self._on_event(event)

    def close(self) -> None:
        """Ends the exchange at once."""
        self._on_event = None
        if self._body is not None:
            self._body.stop()
        elif self._response is not None:
            self._response.cancel()

    def pause(self) -> None:
        """Stops reading."""
        if self._body is not None:
            self._body.pause()

    def resume(self) -> None:
        """Reads again."""
        if self._body is not None:
            self._body.resume()

    def _take_response(self, response: Any) -> Any:
        if response.code == STATUS_OK:
            self.emit(AttemptAccepted(self._number))
            self._body = FrameBody(self._number, self.emit)
            response.deliverBody(self._body)
            if self._on_event is None:
                self._body.stop()
            return None
        body: Deferred[Any] = read_short_body(response)
        body.addCallback(self._take_refusal, response.code)
        return body

    def _take_refusal(self, data: bytes, status: int) -> None:
        error = _decode_error(data, status)
        self.emit(AttemptRefused(self._number, error))

    def _take_failure(self, failure: Failure) -> None:
        sent = failure.check(*NEVER_SENT) is None
        self.emit(ConnectionLost(self._number, sent))


class FrameBody(Protocol):
    """Reads frames from the body of a response."""

    def __init__(self, number: int, emit: OnEvent) -> None:
        self._number = number
        self._emit = emit
        self._reader = FrameReader()
        self._stopped = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hands on the frames that are now whole."""
        try:
            frames = self._reader.feed(data)
        except WireError:
            self.stop()
            self._emit(ConnectionLost(self._number))
            return
        for frame in frames:
            self._emit(FrameArrived(self._number, frame))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notes the end of the body; the core knows whether the answer is whole."""
        if not self._stopped:
            self._emit(ConnectionLost(self._number))

    def stop(self) -> None:
        """Closes the connection, since its rest would have to be read otherwise."""
        self._stopped = True
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def pause(self) -> None:
        """Stops reading."""
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        """Reads again."""
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()


def _decode_error(data: bytes, status: int) -> ErrorReport:
    try:
        return msgspec.msgpack.decode(data, type=ErrorReport)
    except msgspec.MsgspecError:
        message = f"the sidecar answered {status} without a readable error"
        return ErrorReport(ErrorCode.PROTOCOL_ERROR, message, Ran.UNKNOWN)
