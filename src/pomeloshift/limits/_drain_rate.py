"""Estimates how much work a service completes per second."""

import math

import attrs

TIME_CONSTANT_S = 2.0
MIN_INTERVAL_S = 0.001


@attrs.define
class DrainRate:
    """An exponential moving average of completed work, in units of cost per second."""

    _rate: float = attrs.field(init=False, default=0.0)
    _weight: float = attrs.field(init=False, default=0.0)
    _interval_start: float | None = attrs.field(init=False, default=None)
    _work: float = attrs.field(init=False, default=0.0)

    def finished(self, work: float, now: float) -> None:
        """Adds completed work."""
        if self._interval_start is None:
            self._interval_start = now
        self._work += work
        interval_s = now - self._interval_start
        if interval_s < MIN_INTERVAL_S * 100:
            return
        decay = math.exp(-interval_s / TIME_CONSTANT_S)
        self._rate = decay * self._rate + (1 - decay) * self._work / interval_s
        self._weight = decay * self._weight + (1 - decay)
        self._interval_start = now
        self._work = 0.0

    def per_s(self) -> float | None:
        """Returns the work completed per second, `None` until enough was measured."""
        return self._rate / self._weight if self._weight > 0.2 else None
