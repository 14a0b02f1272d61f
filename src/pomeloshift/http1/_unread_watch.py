"""Watches whether a caller reads what is written to it."""

from collections.abc import Callable
from typing import Any


def count_unsent(transport: Any) -> int:
    """Returns the bytes written to a transport that the system has not taken."""
    buffered = len(getattr(transport, "dataBuffer", b""))
    sent = getattr(transport, "offset", 0)
    return int(buffered - sent + getattr(transport, "_tempDataLen", 0))


class UnreadWatch:
    """Calls ``on_unread`` if a caller has taken nothing for ``limit_s`` seconds.

    ``written`` counts all bytes written, so that the bytes taken are known also while
    more are written.
    """

    def __init__(
        self, reactor: Any, limit_s: float, on_unread: Callable[[int], None]
    ) -> None:
        self.written = 0
        self._reactor = reactor
        self._limit_s = limit_s
        self._on_unread = on_unread
        self._transport: Any = None
        self._taken = 0
        self._timer: Any = None

    def start(self, transport: Any) -> None:
        """Watches from now on, until `stop`."""
        if self._timer is None and self._limit_s != float("inf"):
            self._transport = transport
            self._taken = self.written - count_unsent(transport)
            self._timer = self._reactor.callLater(self._limit_s, self._check)

    def stop(self) -> None:
        """Ends the watch: the caller has read everything, or is gone."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _check(self) -> None:
        self._timer = None
        unsent = count_unsent(self._transport)
        if unsent == 0:
            return
        if self.written - unsent > self._taken:
            self.start(self._transport)
        else:
            self._on_unread(unsent)
