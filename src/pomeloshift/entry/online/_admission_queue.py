"""The admission queue of one service at an entry."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ...attempts import RequestSpec
from ...config import WorkspaceConfig
from ...limits import Admit, LimitEffect, Limiter, Outcome, RetryBudget, Shed
from ...net import Clock

POLL_INTERVAL_S = 0.05


class AdmissionQueue:
    """Queues the requests of one service until the limiter admits them."""

    def __init__(
        self, workspace: Callable[[str], WorkspaceConfig], reactor: Any, clock: Clock
    ) -> None:
        self.budget = RetryBudget()
        self._limiter = Limiter(workspace)
        self._reactor = reactor
        self._clock = clock
        self._waiting: dict[str, Deferred[None]] = {}
        self._poll_call: Any = None

    def admit(self, spec: RequestSpec) -> Deferred[None]:
        """Returns a deferred that fires when the request may run.

        If the request is rejected, the deferred fails with the error.

        Cancelling the deferred removes a waiting request from the queue.
        """
        workspace = spec.workspace
        waiting: Deferred[None] = Deferred(
            lambda _: self._cancel_wait(spec.request_id, workspace)
        )
        self._waiting[spec.request_id] = waiting
        now = self._clock.monotonic()
        cost = spec.prompt_tokens + spec.max_tokens
        self._apply(
            self._limiter.offer(spec.request_id, workspace, cost, spec.deadline_at, now)
        )
        self._poll_later()
        return waiting

    def record_end(self, request_id: str, outcome: Outcome) -> None:
        """Called at the end of an admitted request, to admit waiting ones."""
        now = self._clock.monotonic()
        if outcome is Outcome.IN_TIME:
            self.budget.succeeded(now)
        self._apply(self._limiter.ended(request_id, outcome, now))

    def _cancel_wait(self, request_id: str, workspace: str) -> None:
        self._waiting.pop(request_id, None)
        self._limiter.cancel(request_id, workspace)

    def _apply(self, effects: list[LimitEffect]) -> None:
        for effect in effects:
            waiting = self._waiting.pop(effect.request_id, None)
            if waiting is None:
                continue
            match effect:
                case Admit():
                    waiting.callback(None)
                case Shed(error=error):
                    waiting.errback(error)

    def _poll_later(self) -> None:
        if self._waiting and self._poll_call is None:
            self._poll_call = self._reactor.callLater(POLL_INTERVAL_S, self._run_poll)

    def _run_poll(self) -> None:
        self._poll_call = None
        self._apply(self._limiter.poll(self._clock.monotonic()))
        self._poll_later()
