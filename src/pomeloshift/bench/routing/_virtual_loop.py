"""An event loop in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any


class VirtualLoop:
    """Runs calls in the order of their virtual times, without waiting.

    Times are in seconds. Calls at the same time run in the order of scheduling.

    loop = VirtualLoop()
    loop.at(1.5, print, "a second and a half later")
    loop.run(until=10.0)
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._numbers = count()

    def at(self, time: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedules ``call`` at ``time``, or now if ``time`` is in the past."""
        at = max(time, self.now)
        heappush(self._calls, (at, next(self._numbers), call, args))

    def after(self, delay_s: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedules ``call`` in ``delay_s`` seconds."""
        self.at(self.now + delay_s, call, *args)

    def run(self, until: float) -> None:
        """Runs all calls up to ``until`` and sets the time to it."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, args = heappop(self._calls)
            call(*args)
        self.now = until
