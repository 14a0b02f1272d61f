"""Writes the response to a caller."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from twisted.internet.interfaces import IPushProducer
from twisted.web.server import Request
from zope.interface import implementer

from ...errors import ErrorReport
from ...errors._error import HTTP_STATUS_BY_CODE
from ...net._http import respond_json

EVENT_STREAM = "text/event-stream"
RETRY_AFTER_HEADER = b"retry-after"


@implementer(IPushProducer)
@attrs.define(eq=False)
class _Throttle:
    """Applies the back-pressure of the caller's connection."""

    pause: Callable[[], None]
    resume: Callable[[], None]

    def pauseProducing(self) -> None:  # noqa: N802
        """Called when the send buffer of the caller's connection is full."""
        self.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Called when the send buffer has room again."""
        self.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``notifyFinish`` of the request reports a lost connection."""


class CallerResponse:
    """Writes status, content type and payloads of one response.

    Nothing is written before the first payload, so that an error until then can
    still be sent with its own status.
    """

    def __init__(self, req: Request) -> None:
        self._req = req
        self._content_type = ""
        self._has_begun = False
        self._is_open = True
        self._is_throttled = False

    @property
    def has_begun(self) -> bool:
        """Whether any part of the response was written."""
        return self._has_begun

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Calls ``pause`` when the caller reads too slowly, then ``resume``."""
        self._req.registerProducer(_Throttle(pause, resume), True)
        self._is_throttled = True

    def mark_disconnected(self) -> None:
        """Called when the caller has disconnected; later writes are dropped."""
        self._is_open = False

    def write(self, payload: bytes, status: int, content_type: str) -> None:
        """Writes a chunk; the first one also sends status and content type."""
        if not self._is_open:
            return
        self._begin(status, content_type)
        if payload:
            self._req.write(payload)

    def finish(self) -> None:
        """Ends a complete response."""
        if self._is_open:
            self._end()

    def fail(self, error: ErrorReport) -> None:
        """Ends the response with an error.

        An event stream that has begun ends with an error event. For any other
        response that has begun, the connection is aborted, so that the caller
        cannot mistake the response for a complete one.
        """
        if not self._is_open:
            return
        if not self._has_begun:
            self._send_error(error)
        elif self._content_type.startswith(EVENT_STREAM):
            event = msgspec.json.encode(error.as_json())
            self._req.write(b"data: " + event + b"\n\n")
            self._end()
        else:
            self._abort()

    def _begin(self, status: int, content_type: str) -> None:
        if self._has_begun:
            return
        self._has_begun = True
        self._content_type = content_type
        self._req.setResponseCode(status)
        if content_type:
            self._req.setHeader(b"content-type", content_type.encode())

    def _send_error(self, error: ErrorReport) -> None:
        if error.retry_after_s is not None:
            seconds = max(1, round(error.retry_after_s + 0.499))
            self._req.setHeader(RETRY_AFTER_HEADER, str(seconds).encode())
        status = HTTP_STATUS_BY_CODE[error.code]
        self._req.write(respond_json(self._req, error.as_json(), status))
        self._end()

    def _abort(self) -> None:
        self._is_open = False
        channel: Any = self._req.channel
        if channel is not None and channel.transport is not None:
            channel.transport.abortConnection()

    def _end(self) -> None:
        self._is_open = False
        if self._is_throttled:
            self._req.unregisterProducer()
        self._req.finish()
