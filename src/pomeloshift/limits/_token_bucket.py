"""A rate limit that allows short bursts."""

import math

import attrs


@attrs.define
class TokenBucket:
    """Holds up to ``burst`` units and is refilled at ``rate`` units per second.

    It begins with ``level`` units, by default with ``burst``, and is refilled from
    ``filled_at`` on, by default from its first use. What has already been used
    elsewhere is charged also if the level becomes negative:

        bucket = TokenBucket(rate=2.0, burst=2.0)
        bucket.charge(now, 3.0)
        bucket.wait_s(now)  # 1.0
    """

    rate: float
    burst: float
    level: float = attrs.field(kw_only=True)
    filled_at: float | None = attrs.field(kw_only=True, default=None)

    @level.default
    def _full(self) -> float:
        return self.burst

    def take(self, now: float, units: float = 1.0) -> float:
        """Takes ``units`` and returns 0, or the seconds until they are available.

        Nothing is taken if fewer than ``units`` are available.
        """
        wait_s = self.wait_s(now, units)
        if wait_s == 0:
            self.level -= units
        return wait_s

    def wait_s(self, now: float, units: float = 1.0) -> float:
        """Returns the seconds until ``units`` are available, infinity without a rate.

        ``units`` above the burst are never available.
        """
        self.fill(now)
        if self.level >= units:
            return 0.0
        return (units - self.level) / self.rate if self.rate > 0 else math.inf

    def charge(self, now: float, units: float = 1.0) -> None:
        """Takes ``units`` although fewer may be available."""
        self.fill(now)
        self.level -= units

    def put(self, now: float, units: float) -> None:
        """Adds ``units``; the level does not exceed ``burst``."""
        self.fill(now)
        self.level = min(self.burst, self.level + units)

    def resize(self, rate: float, burst: float, now: float | None = None) -> None:
        """Applies a new rate and burst; units above the burst are dropped.

        With ``now``, the rate applies from then on, else from the last use on.
        """
        if now is not None:
            self.fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now: float) -> None:
        """Adds what the rate allows until ``now``."""
        if self.filled_at is not None:
            gained = max(0.0, now - self.filled_at) * self.rate
            self.level = min(self.burst, self.level + gained)
        self.filled_at = now
