"""A timer of a process in virtual time."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled

if TYPE_CHECKING:
    from ._process import SimProcess


class DelayedCall:
    """A Twisted `IDelayedCall` that fires only while its process runs."""

    def __init__(
        self, process: "SimProcess", delay: float, function: Callable[[], Any]
    ) -> None:
        self._process = process
        self._function = function
        self._called = False
        self._cancelled = False
        self._inner: Any = process.clock.callLater(max(0.0, delay), self._expire)

    def active(self) -> bool:
        """Returns whether the timer is still pending."""
        return not self._called and not self._cancelled

    def cancel(self) -> None:
        """Cancels the timer; raises if it has fired or was cancelled."""
        self._check()
        self._cancelled = True
        if self._inner.active():
            self._inner.cancel()

    def getTime(self) -> float:  # noqa: N802
        """Returns the due time in seconds of virtual time."""
        return float(self._inner.getTime())

    def reset(self, delay: float) -> None:
        """Reschedules the timer to ``delay`` seconds from now."""
        self._check()
        if self._inner.active():
            self._inner.cancel()
        self._inner = self._process.clock.callLater(delay, self._expire)

    def delay(self, seconds: float) -> None:
        """Postpones the timer by ``seconds``."""
        now = self._process.clock.seconds()
        self.reset(self._inner.getTime() - now + seconds)

    def _check(self) -> None:
        if self._called:
            raise AlreadyCalled
        if self._cancelled:
            raise AlreadyCancelled

    def _expire(self) -> None:
        self._process.run(self._fire)

    def _fire(self) -> None:
        if self._cancelled or self._called:
            return
        self._called = True
        self._function()
