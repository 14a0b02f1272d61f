"""When a refused caller should return.

The load it answers: more requests than places. Callers that were refused together must
not return together, and none should return before a place is likely to be free.
"""

from random import Random

import attrs

# Weight of a new measurement of the time between places that come free.
SMOOTHING = 0.1
SHORTEST_S = 0.05  # one round trip and an engine's first step
LONGEST_S = 1.5  # callers use at most a third of the time they have left


@attrs.define
class ReturnTimes:
    """Measures how fast places come free and spreads the callers' return."""

    _random: Random
    _interval_s: float = 0.2
    _last_freed: float | None = None
    _promised: float = float("-inf")

    def place_freed(self, now: float) -> None:
        """Notes that a request of this entry has left its engine."""
        if self._last_freed is not None:
            gap = min(now - self._last_freed, LONGEST_S)
            self._interval_s += SMOOTHING * (gap - self._interval_s)
        self._last_freed = now

    def retry_after(self, now: float) -> float:
        """Returns the seconds after which a refused caller should return.

        Each caller is given a later place than the one before.
        """
        self._promised = max(self._promised, now) + self._interval_s
        delay = (self._promised - now) * (0.75 + 0.5 * self._random.random())
        if self._promised - now > LONGEST_S:
            self._promised = now + LONGEST_S
        return min(max(delay, SHORTEST_S), LONGEST_S)
