"""A rate limit that allows short bursts."""

import attrs


@attrs.define
class TokenBucket:
    """Holds up to ``burst`` units and is refilled at ``rate`` units per second."""

    rate: float
    burst: float
    _level: float = attrs.field(init=False)
    _filled_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def take(self, now: float, units: float = 1.0) -> float:
        """Takes ``units`` and returns 0, or the seconds until they are available.

        Nothing is taken if fewer than ``units`` are available.
        """
        self._fill(now)
        if self._level >= units:
            self._level -= units
            return 0.0
        return (units - self._level) / self.rate

    def put(self, now: float, units: float) -> None:
        """Adds ``units``; the level does not exceed ``burst``."""
        self._fill(now)
        self._level = min(self.burst, self._level + units)

    def resize(self, rate: float, burst: float) -> None:
        """Applies a new rate and burst; units above the burst are dropped."""
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._filled_at = now
