"""Bounds retries by a fraction of the recent successes."""

from ._token_bucket import TokenBucket


class RetryBudget:
    """A token bucket of retries, so that retries do not amplify an overload.

    Each success adds ``ratio`` of a retry, and each second adds ``free_per_s``. At
    most ``max_saved`` retries are saved.

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
        """Adds to the budget for a successful request."""
        self._bucket.put(now, self._ratio)

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns `False` if it is exhausted."""
        return self._bucket.take(now) == 0.0
