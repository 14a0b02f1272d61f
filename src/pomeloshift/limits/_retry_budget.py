"""Keeps retries to a fraction of the recent successes."""

from ._token_bucket import TokenBucket


class RetryBudget:
    """Each success earns ``ratio`` of a retry; a few more are free each second.

    budget = RetryBudget()
    budget.succeeded(now)
    if budget.try_spend(now): ...
    """

    def __init__(
        self,
        ratio: float = 0.1,
        free_per_s: float = 1.0,
        max_saved: float = 20.0,
    ) -> None:
        self._ratio = ratio
        self._bucket = TokenBucket(free_per_s, max_saved)

    def succeeded(self, now: float) -> None:
        """Counts a request that was answered."""
        self._bucket.put(now, self._ratio)

    def try_spend(self, now: float) -> bool:
        """Takes one retry out of the budget; false if it is used up."""
        return self._bucket.take(now) == 0.0
