"""The answer to a caller as it is written."""

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
    """Tells the exchange when the caller reads too slowly."""

    pause: Callable[[], None]
    resume: Callable[[], None]

    def pauseProducing(self) -> None:  # noqa: N802
        """The caller's connection is full."""
        self.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """The caller's connection has room again."""
        self.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; the request's end is notified separately."""


class CallerAnswer:
    """Writes status, content type and payloads of one answer.

    Nothing is written before the first payload, so that until then an error can
    still be answered with its own status.
    """

    def __init__(self, req: Request) -> None:
        self._req = req
        self._content_type = ""
        self._began = False
        self._open = True
        self._throttled = False

    @property
    def began(self) -> bool:
        """Tells whether any part of the answer was written."""
        return self._began

    def throttle(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Calls ``pause`` and ``resume`` as the caller's connection fills up."""
        self._req.registerProducer(_Throttle(pause, resume), True)
        self._throttled = True

    def gone(self) -> None:
        """Notes that the caller has closed its connection."""
        self._open = False

    def write(self, payload: bytes, status: int, content_type: str) -> None:
        """Writes a piece of the answer."""
        if not self._open:
            return
        self._begin(status, content_type)
        if payload:
            self._req.write(payload)

    def finish(self) -> None:
        """Ends a whole answer."""
        if self._open:
            self._end()

    def fail(self, error: ErrorReport) -> None:
        """Ends the answer with an error.

        An event stream that has begun ends with an error event; any other answer
        that has begun is cut, so that it cannot be taken for a whole one.
        """
        if not self._open:
            return
        if not self._began:
            self._refuse(error)
        elif self._content_type.startswith(EVENT_STREAM):
            event = msgspec.json.encode(error.as_json())
            self._req.write(b"data: " + event + b"\n\n")
            self._end()
        else:
            self._cut()

    def _begin(self, status: int, content_type: str) -> None:
        if self._began:
            return
        self._began = True
        self._content_type = content_type
        self._req.setResponseCode(status)
        if content_type:
            self._req.setHeader(b"content-type", content_type.encode())

    def _refuse(self, error: ErrorReport) -> None:
        if error.retry_after_s is not None:
            seconds = max(1, round(error.retry_after_s + 0.499))
            self._req.setHeader(RETRY_AFTER_HEADER, str(seconds).encode())
        status = HTTP_STATUS_BY_CODE[error.code]
        self._req.write(respond_json(self._req, error.as_json(), status))
        self._end()

    def _cut(self) -> None:
        self._open = False
        channel: Any = self._req.channel
        if channel is not None and channel.transport is not None:
            channel.transport.abortConnection()

    def _end(self) -> None:
        self._open = False
        if self._throttled:
            self._req.unregisterProducer()
        self._req.finish()
