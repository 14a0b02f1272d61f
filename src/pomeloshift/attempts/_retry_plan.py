"""Decides whether and when a request is retried."""

from random import Random

import attrs

from ..errors import ErrorReport, Ran
from ._chooser import Budget
from ._online_config import OnlineConfig
from ._retry_scope import RetryScope, retry_scope

MAX_CRASHES = 2
MIN_JITTER_FACTOR = 0.2
MAX_PROPAGATION_FACTOR = 1.5


@attrs.define
class RetryPlan:
    """The retries of one request.

    After the first crash ``alone`` is set: the request is a suspect and runs
    exclusively. Waits are in seconds and have jitter.
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
    _is_propagated: bool = attrs.field(init=False, default=False)

    def record_crash(self) -> bool:
        """Counts a crash; returns whether the request must not run again."""
        self._crashes += 1
        self.alone = True
        self._is_propagated = False
        return self._crashes >= MAX_CRASHES

    def propagation_wait(self) -> float:
        """Returns how long a suspect waits for its crash to reach other entries.

        Returns 0 for other requests, and for all but the first call after a crash.
        """
        if not self.alone or self._is_propagated:
            return 0.0
        self._is_propagated = True
        propagation_s = self.cfg.propagation_s
        return self.rng.uniform(propagation_s, MAX_PROPAGATION_FACTOR * propagation_s)

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
        waits_anyway = self.alone and not self._is_propagated
        is_first = self._retries == 1 and not self.alone
        if waits_anyway or is_first:
            return 0.0
        longest_s = self.cfg.backoff_s * 2**self._retries
        return self._jitter(min(longest_s, self.cfg.max_backoff_s))

    def _jitter(self, longest_s: float) -> float:
        return self.rng.uniform(MIN_JITTER_FACTOR * longest_s, longest_s)
