"""Divides the processor time among connections whose input is costly to parse."""

from collections import deque
from collections.abc import Callable
from typing import Any

# Events of one connection, such as chunks of one byte, that are handled in a row: some
# milliseconds, during which no other connection is served.
EVENTS_A_TURN = 256


class Turns:
    """Calls functions one after another, with other input between them."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: deque[Callable[[], None]] = deque()

    def add(self, function: Callable[[], None]) -> None:
        """Calls a function when those before it have been called."""
        self._waiting.append(function)
        if len(self._waiting) == 1:
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        function = self._waiting[0]
        try:
            function()
        finally:
            self._waiting.popleft()
            if self._waiting:
                self._reactor.callLater(0, self._run)
