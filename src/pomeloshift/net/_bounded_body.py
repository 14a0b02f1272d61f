"""Reads the body of a response into memory, up to a limit."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._watched_agent import ConnectionEnd


class BodyTooLargeError(PomeloshiftError):
    """A response's body exceeds the limit of its reader."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class BoundedBody(Protocol):
    """Collects a body of at most ``max_bytes``; ``done`` fires with it.

    Above the limit, and if ``done`` is cancelled, the connection is closed. A body
    without a length is complete unless ``end`` says that its connection was reset.
    """

    def __init__(self, max_bytes: int, end: ConnectionEnd | None = None) -> None:
        self._end = end or ConnectionEnd()
        self.done: Deferred[bytes] = Deferred(lambda _: self._close())
        self._max_bytes = max_bytes
        self._content = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects a segment."""
        if self.done.called:
            return
        self._content += data
        if len(self._content) > self._max_bytes:
            self._close()
            self.done.errback(
                BodyTooLargeError(f"the body exceeds {self._max_bytes} bytes")
            )

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fires ``done`` with the body, or with the failure if it is incomplete.

        A body without a declared length ends with its connection.
        """
        if self.done.called:
            return
        if reason is None or reason.check(ResponseDone):
            is_complete = True
        else:
            is_unframed = reason.check(PotentialDataLoss) is not None
            is_complete = is_unframed and not self._end.was_reset
        if not is_complete:
            self.done.errback(reason)
        else:
            self.done.callback(bytes(self._content))

    def _close(self) -> None:
        self._content.clear()
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def read_bounded(
    response: Any, max_bytes: int, end: ConnectionEnd | None = None
) -> Deferred[bytes]:
    """Returns a deferred that fires with the body of an unbuffered ``response``.

    It fails with `BodyTooLargeError` for a body of more than ``max_bytes``. ``end`` is
    that of a `watched_agent`, if it sent the request.
    """
    body = BoundedBody(max_bytes, end)
    response.deliverBody(body)
    return body.done
