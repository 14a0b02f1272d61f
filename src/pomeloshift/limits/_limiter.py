"""Decides at an entry which requests of a service run, wait or are refused."""

from collections.abc import Callable
from enum import Enum

import attrs

from ..config import WorkspaceConfig
from ..errors import PomeloshiftError
from ._adaptive_limit import AdaptiveLimit
from ._drain_rate import DrainRate
from ._errors import DeadlineExceededError, OverloadedError, RateLimitedError
from ._fair_queue import FairQueue
from ._token_bucket import TokenBucket
from ._waiting import Waiting

BUCKET_S = 1.0
RETRY_AFTER_S = 1.0


class Outcome(Enum):
    """How a request that ran has ended, as far as load is concerned."""

    IN_TIME = "in_time"
    TOO_LATE = "too_late"
    REFUSED = "refused"
    OTHER = "other"


@attrs.frozen
class Admit:
    """Run the request now."""

    request_id: str


@attrs.frozen
class Shed:
    """Refuse the request; it was not run."""

    request_id: str
    error: PomeloshiftError


LimitEffect = Admit | Shed


@attrs.define
class _Running:
    workspace: str
    cost: float


class Limiter:
    """The limits of the workspaces at one service.

    ``workspace`` returns the limits in force for a name. ``max_wait_s`` bounds the
    time in the queue in seconds; a request that would wait longer is refused when
    it arrives and told when to come back.
    """

    def __init__(
        self,
        workspace: Callable[[str], WorkspaceConfig],
        limit: AdaptiveLimit | None = None,
        max_wait_s: float = 0.25,
    ) -> None:
        self._workspace = workspace
        self._limit = limit or AdaptiveLimit()
        self._max_wait_s = max_wait_s
        self._buckets: dict[str, TokenBucket] = {}
        self._held: dict[str, int] = {}
        self._running: dict[str, _Running] = {}
        self._queue = FairQueue()
        self._drain = DrainRate()
        self._number = 0

    @property
    def running(self) -> int:
        """The number of admitted requests that have not ended."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._queue)

    def offer(
        self,
        request_id: str,
        workspace: str,
        cost: float,
        deadline_at: float,
        now: float,
    ) -> list[LimitEffect]:
        """Takes a new request; an answer without effects means that it waits."""
        cfg = self._workspace(workspace)
        error = self._over_limits(cfg, now)
        if error is None:
            error = self._too_slow(cfg, deadline_at, now)
        if error is not None:
            return [Shed(request_id, error)]
        self._held[workspace] = self._held.get(workspace, 0) + 1
        self._number += 1
        item = Waiting(deadline_at, self._number, request_id, workspace, cost)
        self._queue.push(item, cfg.share)
        return self.poll(now)

    def ended(self, request_id: str, outcome: Outcome, now: float) -> list[LimitEffect]:
        """Notes that an admitted request has ended; may admit others."""
        ended = self._running.pop(request_id, None)
        if ended is None:
            return []
        self._let_go(ended.workspace)
        if outcome in (Outcome.IN_TIME, Outcome.TOO_LATE):
            self._drain.finished(ended.cost, now)
        if outcome is Outcome.IN_TIME:
            self._limit.succeeded(len(self._running) + 1, now)
        elif outcome in (Outcome.TOO_LATE, Outcome.REFUSED):
            self._limit.overloaded(now)
        return self.poll(now)

    def gone(self, request_id: str, workspace: str) -> None:
        """Takes a waiting request out whose caller has gone."""
        if self._queue.remove(request_id):
            self._let_go(workspace)

    def poll(self, now: float) -> list[LimitEffect]:
        """Sheds what is too late and admits what there is room for."""
        effects: list[LimitEffect] = []
        for item in self._queue.pop_late(now):
            self._let_go(item.workspace)
            error = DeadlineExceededError(
                "the request waited too long", retry_after_s=RETRY_AFTER_S
            )
            effects.append(Shed(item.request_id, error))
        while len(self._running) < int(self._limit.limit):
            next_item = self._queue.pop()
            if next_item is None:
                break
            held = _Running(next_item.workspace, next_item.cost)
            self._running[next_item.request_id] = held
            effects.append(Admit(next_item.request_id))
        return effects

    def _over_limits(self, cfg: WorkspaceConfig, now: float) -> PomeloshiftError | None:
        if self._held.get(cfg.name, 0) >= cfg.concurrency:
            return RateLimitedError(
                f"{cfg.concurrency} requests are open", retry_after_s=RETRY_AFTER_S
            )
        wait_s = self._bucket(cfg).take(now)
        if wait_s > 0:
            return RateLimitedError(
                f"more than {cfg.requests_per_s:g} requests a second",
                retry_after_s=wait_s,
            )
        return None

    def _too_slow(
        self, cfg: WorkspaceConfig, deadline_at: float, now: float
    ) -> PomeloshiftError | None:
        rate = self._drain.per_s()
        if len(self._running) < int(self._limit.limit) or not rate:
            return None
        wait_s = self._queue.work_ahead(cfg.name, cfg.share) / rate
        if wait_s <= min(self._max_wait_s, deadline_at - now):
            return None
        return OverloadedError("the service is overloaded", retry_after_s=wait_s)

    def _bucket(self, cfg: WorkspaceConfig) -> TokenBucket:
        burst = max(1.0, cfg.requests_per_s * BUCKET_S)
        bucket = self._buckets.get(cfg.name)
        if bucket is None:
            bucket = self._buckets[cfg.name] = TokenBucket(cfg.requests_per_s, burst)
        elif bucket.rate != cfg.requests_per_s:
            bucket.resize(cfg.requests_per_s, burst)
        return bucket

    def _let_go(self, workspace: str) -> None:
        left = self._held.get(workspace, 0) - 1
        if left > 0:
            self._held[workspace] = left
        else:
            self._held.pop(workspace, None)
