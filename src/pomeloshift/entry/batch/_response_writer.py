"""Writes a long answer no faster than its caller reads it."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from ...errors import ErrorCode, PomeloshiftError

CONTENT_TYPE = b"application/octet-stream"


class CallerGoneError(PomeloshiftError):
    """The caller closed its connection before it had the whole answer."""

    code = ErrorCode.CANCELLED


@implementer(IPushProducer)
class ResponseWriter:
    """Writes parts of an answer; the headers go out with the first of them.

    An error that is raised before the first part can still be answered as one.
    """

    def __init__(self, req: Any) -> None:
        self._req = req
        self._resumed: Deferred[None] | None = None
        self._is_started = False
        self._is_gone = False

    async def write(self, data: bytes) -> None:
        """Writes a part and waits while the caller is slower.

        Raises `CallerGoneError`.
        """
        self._start()
        if data and not self._is_gone:
            self._req.write(data)
        if self._resumed is not None:
            await self._resumed
        if self._is_gone:
            raise CallerGoneError("the caller closed the connection")

    def finish(self) -> None:
        """Ends the answer."""
        self._start()
        self._req.unregisterProducer()
        self._req.finish()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops `write` from returning."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Lets `write` return."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Notes that the caller is gone."""
        self._is_gone = True
        self.resumeProducing()

    def _start(self) -> None:
        if self._is_started:
            return
        self._is_started = True
        self._req.setHeader(b"content-type", CONTENT_TYPE)
        self._req.registerProducer(self, True)
