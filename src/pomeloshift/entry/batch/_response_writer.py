"""Streams a long response with backpressure from its caller."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from ...errors import ErrorCode, PomeloshiftError

CONTENT_TYPE = b"application/octet-stream"


class CallerDisconnectedError(PomeloshiftError):
    """The caller closed its connection before the response was complete."""

    code = ErrorCode.CANCELLED


@implementer(IPushProducer)
class ResponseWriter:
    """Writes a response part by part; the headers are sent with the first part.

    Before the first part, an error can still be sent as an error response.
    """

    def __init__(self, req: Any) -> None:
        self._req = req
        self._resumed: Deferred[None] | None = None
        self._is_started = False
        self._is_disconnected = False

    async def write(self, data: bytes) -> None:
        """Writes a part and waits until the caller has read enough of it.

        Raises `CallerDisconnectedError`.
        """
        self._start()
        if data and not self._is_disconnected:
            self._req.write(data)
        if self._resumed is not None:
            await self._resumed
        if self._is_disconnected:
            raise CallerDisconnectedError("the caller closed the connection")

    def finish(self) -> None:
        """Completes the response."""
        self._start()
        self._req.unregisterProducer()
        self._req.finish()

    def pauseProducing(self) -> None:  # noqa: N802
        """Makes `write` wait; Twisted calls this when its send buffer is full."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Lets `write` return; called when the send buffer has space again."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Called when the caller has disconnected; makes `write` raise."""
        self._is_disconnected = True
        self.resumeProducing()

    def _start(self) -> None:
        if self._is_started:
            return
        self._is_started = True
        self._req.setHeader(b"content-type", CONTENT_TYPE)
        self._req.registerProducer(self, True)
