"""Estimates how much work a service finishes each second."""

import math

import attrs

TIME_CONSTANT_S = 2.0
MIN_GAP_S = 0.001


@attrs.define
class DrainRate:
    """A moving average of finished work."""

    _rate: float = attrs.field(init=False, default=0.0)
    _weight: float = attrs.field(init=False, default=0.0)
    _since: float | None = attrs.field(init=False, default=None)
    _work: float = attrs.field(init=False, default=0.0)

    def finished(self, work: float, now: float) -> None:
        """Counts finished work."""
        if self._since is None:
            self._since = now
        self._work += work
        gap_s = now - self._since
        if gap_s < MIN_GAP_S * 100:
            return
        keep = math.exp(-gap_s / TIME_CONSTANT_S)
        self._rate = keep * self._rate + (1 - keep) * self._work / gap_s
        self._weight = keep * self._weight + (1 - keep)
        self._since = now
        self._work = 0.0

    def per_s(self) -> float | None:
        """Returns the work finished in a second, or `None` before it is known."""
        return self._rate / self._weight if self._weight > 0.2 else None
