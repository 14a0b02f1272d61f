"""The rate limit of a weight store, without I/O."""


class WeightModel:
    """A token bucket of loads: ``loads_per_s`` on average and ``burst`` at once.

    ``started`` and ``refused`` count the loads.
    """

    def __init__(self, loads_per_s: float, burst: int) -> None:
        self._loads_per_s = loads_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at = 0.0
        self.started = 0
        self.refused = 0

    def start_load(self, now: float) -> float | None:
        """Starts a load and returns `None`.

        If the rate limit is exceeded, it refuses the load and returns the seconds to
        wait before the next try.
        """
        self._refill(now)
        if self._tokens < 1.0:
            self.refused += 1
            return (1.0 - self._tokens) / self._loads_per_s
        self._tokens -= 1.0
        self.started += 1
        return None

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        tokens = self._tokens + elapsed * self._loads_per_s
        self._tokens = min(self._burst, tokens)
