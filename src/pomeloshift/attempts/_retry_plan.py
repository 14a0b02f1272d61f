"""Decides whether and when a request is tried again."""

from random import Random

import attrs

from ..errors import ErrorReport, Ran
from ._chooser import Budget
from ._online_config import OnlineConfig
from ._retry_scope import RetryScope, retry_scope

MAX_CRASHES = 2
SHORTEST_SHARE = 0.2
LONGEST_SPREAD = 1.5


@attrs.define
class RetryPlan:
    """The retries of one request.

    ``alone`` is set from the first crash on. Waits are in seconds and jittered.
    """

    cfg: OnlineConfig
    budget: Budget
    rng: Random
    idempotent: bool
    alone: bool = False
    excluded: frozenset[str] = frozenset()
    last_error: ErrorReport | None = None
    _retries: int = attrs.field(init=False, default=0)
    _crashes: int = attrs.field(init=False, default=0)
    _is_spread: bool = attrs.field(init=False, default=False)

    def crashed(self) -> bool:
        """Notes a crash; returns whether the request must not run again."""
        self._crashes += 1
        self.alone = True
        self._is_spread = False
        return self._crashes >= MAX_CRASHES

    def wait_for_spread(self) -> float:
        """Returns how long a suspect waits until other entries know of its crash.

        The result is 0 for other requests and after the first call.
        """
        if not self.alone or self._is_spread:
            return 0.0
        self._is_spread = True
        spread_s = self.cfg.spread_s
        return self.rng.uniform(spread_s, LONGEST_SPREAD * spread_s)

    def wait_after(
        self, error: ErrorReport, server: str, now: float, *, exempt: bool
    ) -> float | None:
        """Returns the wait before the next attempt, or `None` if there is none.

        With ``exempt`` the retry is not charged to the budget.
        """
        self.last_error = error
        scope = retry_scope(error, idempotent=self.idempotent)
        if scope is RetryScope.FINAL:
            return None
        if scope is RetryScope.ELSEWHERE:
            self.excluded |= {server}
        self._retries += 1
        if self.alone and error.ran is Ran.NO:
            self.excluded = frozenset()
            return self._jitter(self.cfg.suspect_wait_s)
        if self._retries > self.cfg.max_retries:
            return None
        if not exempt and not self.budget.try_spend(now):
            return None
        return self._back_off()

    def _back_off(self) -> float:
        waits_anyway = self.alone and not self._is_spread
        is_first = self._retries == 1 and not self.alone
        if waits_anyway or is_first:
            return 0.0
        longest_s = self.cfg.backoff_s * 2**self._retries
        return self._jitter(min(longest_s, self.cfg.max_backoff_s))

    def _jitter(self, longest_s: float) -> float:
        return self.rng.uniform(SHORTEST_SHARE * longest_s, longest_s)
