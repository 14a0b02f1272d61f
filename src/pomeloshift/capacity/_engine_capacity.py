"""What is known of the speed of one incarnation of an engine."""

import math

import attrs

from ._cold_effect import ColdEffect
from ._log_line import LogLine
from ._service_curve import ServiceCurve
from ._slowdown import Slowdown

# Time within which a change of speed is followed, and how many samples it takes.
RECENT_S = 1.2
RECENT_WEIGHT = 8.0
# Lasting differences between engines are remembered while they get little work.
LASTING_S = 60.0
LASTING_WEIGHT = 40.0
# A measured time beyond this multiple of the expected one counts as this multiple.
MAX_SURPRISE = math.log(8.0)
# A line is not extended beyond this many times the slots: what waits is counted apart.
MAX_X = 0.5
# Expected times of this many are waited for before a request counts as overdue.
OVERDUE = 2.0
# Shorter times are not told apart.
MIN_TIME_S = 1e-4
# A fit is used again for this long if no sample was added.
FIT_VALID_S = 0.02


@attrs.define
class EngineCurve:
    """A time of one engine by occupancy, apart from its reported slowdown.

    The recent samples are drawn to the lasting ones, and those to the service's curve.
    """

    service: ServiceCurve
    recent: LogLine = attrs.field(factory=lambda: LogLine(RECENT_S, RECENT_WEIGHT))
    lasting: LogLine = attrs.field(factory=lambda: LogLine(LASTING_S, LASTING_WEIGHT))
    _fit: tuple[float, float] = (0.0, 0.0)
    _fit_at: float = float("-inf")

    def add(self, x: float, y: float, now: float, weight: float = 1.0) -> None:
        """Adds a sample: the logarithm of a time over the slowdown."""
        expected = self.log_at(x, now)
        y = min(max(y, expected - MAX_SURPRISE), expected + MAX_SURPRISE)
        self.service.add(x, y, self.lasting)
        self.recent.add(x, y, now, weight)
        self.lasting.add(x, y, now, weight)
        self._fit_at = float("-inf")

    def log_at(self, x: float, now: float) -> float:
        """Returns the logarithm of the expected time at an occupancy."""
        if not 0 <= now - self._fit_at < FIT_VALID_S:
            lasting = self.lasting.fit(self.service.line, now)
            self._fit, self._fit_at = self.recent.fit(lasting, now), now
        level, slope = self._fit
        return level + max(0.0, slope) * x


@attrs.define
class EngineCapacity:
    """Expected times of one engine: to the first event, and between two events.

    Designed for engines that run some ten requests at once and whose speed changes
    within a second. ``incarnation`` is the one that was measured. ``cold_until`` is
    when the engine ends its slow start, and ``cold`` the usual effect of that.

        capacity.note_start(occupancy=3, slots=8, took_s=0.08, now=1.0)
        capacity.start_s(occupancy=4, slots=8, now=1.1)
    """

    incarnation: int
    start: EngineCurve
    pace: EngineCurve
    cold: ColdEffect
    slowdown: Slowdown = attrs.field(factory=Slowdown)
    cold_until: float = float("-inf")
    measured_at: float = float("-inf")
    _open: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    _next_key: int = 0

    def is_cold(self, now: float) -> bool:
        """Whether the engine is still slow after its start."""
        return now < self.cold_until

    def begin(self, expected_s: float, now: float) -> int:
        """Records a request that is sent, with the expected time to its first event.

        Returns a key for `end`.
        """
        self._next_key += 1
        self._open[self._next_key] = (now, expected_s)
        return self._next_key

    def end(self, key: int) -> None:
        """Records the first event of a request, or its end without one."""
        self._open.pop(key, None)

    def note_start(
        self, occupancy: float, slots: int, took_s: float, now: float
    ) -> None:
        """Records the time from sending a request to its first event.

        ``occupancy`` counts the requests at the engine, with this one.
        """
        self._note(self.start, occupancy, slots, took_s, now, 1.0)

    def note_pace(
        self, occupancy: float, slots: int, gap_s: float, events: int, now: float
    ) -> None:
        """Records the mean time between some events of a request."""
        self._note(self.pace, occupancy, slots, gap_s, now, min(1.0, events / 8))

    def start_s(self, occupancy: float, slots: int, now: float) -> float:
        """Returns the expected time to the first event of a request with a slot.

        A request that has waited for longer than expected shows that the engine has
        become slower.
        """
        x = share(occupancy, slots)
        expected_s = math.exp(self.start.log_at(x, now) + self._log_factor(now))
        return expected_s * self._overdue(now)

    def gap_s(self, occupancy: float, slots: int, now: float) -> float:
        """Returns the expected time between two events."""
        x = share(occupancy, slots)
        return math.exp(self.pace.log_at(x, now) + self._log_factor(now))

    def factor(self, now: float) -> float:
        """Returns by how much the engine is slower than the usual one, half full."""
        level = self.start.log_at(0.0, now) - self.start.service.level
        return math.exp(level + self._log_factor(now)) * self._overdue(now)

    def evidence(self, now: float) -> float:
        """Returns the weight of the recent measurements, in samples."""
        return self.start.recent.weight_at(now) + self.pace.recent.weight_at(now)

    def _note(
        self,
        curve: EngineCurve,
        occupancy: float,
        slots: int,
        took_s: float,
        now: float,
        weight: float,
    ) -> None:
        x = share(occupancy, slots)
        y = math.log(max(took_s, MIN_TIME_S)) - self.slowdown.log_at(now)
        if self.is_cold(now):
            self.cold.add(y - curve.log_at(x, now))
            y -= self.cold.log_factor
        curve.add(x, y, now, weight)
        self.measured_at = now

    def _log_factor(self, now: float) -> float:
        cold = self.cold.log_factor if self.is_cold(now) else 0.0
        return self.slowdown.log_at(now) + cold

    def _overdue(self, now: float) -> float:
        ratio = 1.0
        for sent_at, expected_s in self._open.values():
            ratio = max(ratio, (now - sent_at) / max(OVERDUE * expected_s, MIN_TIME_S))
        return ratio


def share(occupancy: float, slots: int) -> float:
    """Returns the occupancy as a share of the slots, less a half."""
    return min(occupancy / slots - 0.5, MAX_X)
