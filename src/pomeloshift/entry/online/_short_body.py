"""Reads short response bodies, such as errors, into memory."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

MAX_BODY_BYTES = 64 * 1024


class ShortBody(Protocol):
    """Collects a body; ``done`` fires with the received bytes, even if incomplete."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._content = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects a segment; closes the connection at ``MAX_BODY_BYTES``."""
        if self.done.called:
            return
        self._content += data
        if len(self._content) >= MAX_BODY_BYTES:
            transport: Any = self.transport
            transport.loseConnection()
            self.done.callback(bytes(self._content[:MAX_BODY_BYTES]))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fires ``done`` with the collected bytes."""
        if not self.done.called:
            self.done.callback(bytes(self._content))


def read_short_body(response: Any) -> Deferred[bytes]:
    """Returns a deferred that fires with the body of ``response``."""
    body = ShortBody()
    response.deliverBody(body)
    return body.done
