"""The rate limit of a weight store."""


class WeightModel:
    """A token bucket of loads: ``loads_per_s`` on average and ``burst`` at once."""

    def __init__(self, loads_per_s: float, burst: int) -> None:
        self._loads_per_s = loads_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at = 0.0
        self.started = 0
        self.refused = 0

    def start_load(self, now: float) -> float | None:
        """Starts a load and returns `None`, or returns the seconds to wait first."""
        self._fill(now)
        if self._tokens < 1.0:
            self.refused += 1
            return (1.0 - self._tokens) / self._loads_per_s
        self._tokens -= 1.0
        self.started += 1
        return None

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        filled = self._tokens + elapsed * self._loads_per_s
        self._tokens = min(self._burst, filled)
