"""Decides which requests may still be sent to engines before a planned stop."""

import math
from collections import OrderedDict

import attrs

# Weight of a new measurement of a route, and by how many mean deviations a request may
# take longer than the mean: few take longer, and a refusal costs their callers less
# than a cut.
SMOOTHING = 0.125
DEVIATIONS = 2.0
# Largest number of routes that are known; those without requests are forgotten first.
MAX_ROUTES = 1000


@attrs.define
class _RouteTime:
    """How long requests of a route take: mean and mean deviation, in seconds."""

    mean_s: float
    deviation_s: float = 0.0

    def note(self, took_s: float) -> None:
        error_s = took_s - self.mean_s
        self.mean_s += SMOOTHING * error_s
        self.deviation_s += SMOOTHING * (abs(error_s) - self.deviation_s)


@attrs.define
class StopWindow:
    """The time in which requests may still be sent to engines.

    What is open at the end of the grace period is cut, so a request that would still
    run then is better refused: its caller can go to another gateway. A request counts
    as one that would if others of its route take so long.

        window = StopWindow()
        window.note_run("chat", took_s=4.0)
        window.begin(sends_until=102.6, ends_at=107.3)
        window.admits("chat", now=102.0)  # True
        window.admits("chat", now=102.7)  # False

    Times are monotonic seconds. Handles the requests of one gateway; a route of which
    nothing is known is taken for a short one.
    """

    _sends_until: float = math.inf
    _ends_at: float = math.inf
    _routes: OrderedDict[str, _RouteTime] = attrs.field(factory=OrderedDict)

    def begin(self, sends_until: float, ends_at: float) -> None:
        """Begins a planned stop.

        Nothing is sent for the first time after ``sends_until``, and what is open at
        ``ends_at`` is cut.
        """
        self._sends_until, self._ends_at = sends_until, ends_at

    def note_run(self, route: str, took_s: float) -> None:
        """Records how long a request took from its arrival to its end, in seconds."""
        known = self._routes.get(route)
        if known is not None:
            known.note(took_s)
            self._routes.move_to_end(route)
            return
        self._routes[route] = _RouteTime(took_s)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def longest_s(self, route: str) -> float:
        """Returns how long a request of a route may take, 0 if nothing is known."""
        known = self._routes.get(route)
        return known.mean_s + DEVIATIONS * known.deviation_s if known else 0.0

    def admits(self, route: str, now: float) -> bool:
        """Returns whether a request may be sent to an engine for the first time."""
        if now > self._sends_until:
            return False
        return now + self.longest_s(route) <= self._ends_at
