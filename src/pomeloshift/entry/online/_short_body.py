"""Reads the short body of a refusal."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

MAX_BYTES = 64 * 1024


class ShortBody(Protocol):
    """Collects a body; ``done`` fires with what arrived before its end."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps the next bytes, up to the limit."""
        if self._size < MAX_BYTES:
            self._parts.append(data)
            self._size += len(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Hands on what arrived."""
        self.done.callback(b"".join(self._parts))


def read_short_body(response: Any) -> Deferred[bytes]:
    """Returns a deferred with the body of ``response``."""
    body = ShortBody()
    response.deliverBody(body)
    return body.done
