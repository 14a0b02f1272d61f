"""Decides at an entry which requests of a service run, queue or are refused."""

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

BURST_S = 1.0
RETRY_AFTER_S = 1.0


class Outcome(Enum):
    """How an admitted request ended, as a signal of the service's load.

    ``IN_TIME`` and ``TOO_LATE`` are responses, ``REFUSED`` is a refusal for overload,
    and ``OTHER`` says nothing about the load.
    """

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
    """Refuse the request with ``error``; it was not run."""

    request_id: str
    error: PomeloshiftError


LimitEffect = Admit | Shed


@attrs.define
class _Running:
    workspace: str
    cost: float


class Limiter:
    """Admits, queues or sheds the requests of all workspaces at one service.

    Designed for callers that together send more than the service can run, and for
    floods from single workspaces. A request is refused if its workspace exceeds its
    rate or its number of open requests, or if its expected time in the queue exceeds
    ``max_wait_s`` (seconds) or its deadline. Refusals state when to retry. Queued
    requests are admitted by `FairQueue` up to the adaptive ``limit``. ``workspace``
    returns the configuration of a workspace by name.
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
        self._open: dict[str, int] = {}
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
        """Handles a new request; returns no effect for it if it is queued.

        ``cost`` is its work in a unit that is the same for all requests, and
        ``deadline_at`` a monotonic time in seconds.
        """
        cfg = self._workspace(workspace)
        error = self._workspace_limit_error(cfg, now)
        if error is None:
            error = self._overload_error(cfg, deadline_at, now)
        if error is not None:
            return [Shed(request_id, error)]
        self._open[workspace] = self._open.get(workspace, 0) + 1
        self._number += 1
        item = Waiting(deadline_at, self._number, request_id, workspace, cost)
        self._queue.push(item, cfg.share)
        return self.poll(now)

    def ended(self, request_id: str, outcome: Outcome, now: float) -> list[LimitEffect]:
        """Called when an admitted request has ended; may admit or shed others."""
        run = self._running.pop(request_id, None)
        if run is None:
            return []
        self._release(run.workspace)
        if outcome in (Outcome.IN_TIME, Outcome.TOO_LATE):
            self._drain.finished(run.cost, now)
        if outcome is Outcome.IN_TIME:
            self._limit.succeeded(len(self._running) + 1, now)
        elif outcome in (Outcome.TOO_LATE, Outcome.REFUSED):
            self._limit.overloaded(now)
        return self.poll(now)

    def cancel(self, request_id: str, workspace: str) -> None:
        """Removes a queued request whose caller has disconnected."""
        if self._queue.remove(request_id):
            self._release(workspace)

    def poll(self, now: float) -> list[LimitEffect]:
        """Sheds queued requests past their deadline and admits up to the limit."""
        effects: list[LimitEffect] = []
        for item in self._queue.pop_expired(now):
            self._release(item.workspace)
            error = DeadlineExceededError(
                "the deadline passed while the request was queued",
                retry_after_s=RETRY_AFTER_S,
            )
            effects.append(Shed(item.request_id, error))
        while len(self._running) < int(self._limit.limit):
            next_item = self._queue.pop()
            if next_item is None:
                break
            run = _Running(next_item.workspace, next_item.cost)
            self._running[next_item.request_id] = run
            effects.append(Admit(next_item.request_id))
        return effects

    def _workspace_limit_error(
        self, cfg: WorkspaceConfig, now: float
    ) -> PomeloshiftError | None:
        if self._open.get(cfg.name, 0) >= cfg.concurrency:
            return RateLimitedError(
                f"the workspace is at its limit of {cfg.concurrency} open requests",
                retry_after_s=RETRY_AFTER_S,
            )
        wait_s = self._bucket(cfg).take(now)
        if wait_s > 0:
            return RateLimitedError(
                f"the workspace exceeds {cfg.requests_per_s:g} requests per second",
                retry_after_s=wait_s,
            )
        return None

    def _overload_error(
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
        burst = max(1.0, cfg.requests_per_s * BURST_S)
        bucket = self._buckets.get(cfg.name)
        if bucket is None:
            bucket = self._buckets[cfg.name] = TokenBucket(cfg.requests_per_s, burst)
        elif bucket.rate != cfg.requests_per_s:
            bucket.resize(cfg.requests_per_s, burst)
        return bucket

    def _release(self, workspace: str) -> None:
        left = self._open.get(workspace, 0) - 1
        if left > 0:
            self._open[workspace] = left
        else:
            self._open.pop(workspace, None)
