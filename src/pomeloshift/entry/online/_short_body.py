"""Reads short response bodies, such as errors, into memory."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

MAX_BODY_BYTES = 64 * 1024


class ShortBody(Protocol):
    """Collects a body; ``done`` fires with the received bytes, even if incomplete."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects a segment, unless the body has reached ``MAX_BODY_BYTES``."""
        if self._size < MAX_BODY_BYTES:
            self._parts.append(data)
            self._size += len(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fires ``done`` with the collected bytes."""
        self.done.callback(b"".join(self._parts))


def read_short_body(response: Any) -> Deferred[bytes]:
    """Returns a deferred that fires with the body of ``response``."""
    body = ShortBody()
    response.deliverBody(body)
    return body.done
