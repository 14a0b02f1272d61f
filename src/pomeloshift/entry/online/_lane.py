"""Admission of one service's requests at an entry."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ...attempts import RequestSpec
from ...config import WorkspaceConfig
from ...limits import Admit, LimitEffect, Limiter, Outcome, RetryBudget, Shed
from ...net import Clock

POLL_S = 0.05


class Lane:
    """Lets requests of one service wait for their turn."""

    def __init__(
        self, workspace: Callable[[str], WorkspaceConfig], reactor: Any, clock: Clock
    ) -> None:
        self.budget = RetryBudget()
        self._limiter = Limiter(workspace)
        self._reactor = reactor
        self._clock = clock
        self._waiting: dict[str, Deferred[None]] = {}
        self._poll: Any = None

    def admit(self, spec: RequestSpec) -> Deferred[None]:
        """Fires when the request may run, or fails with the error that refuses it.

        A request that waits may be cancelled.
        """
        workspace = spec.workspace
        waiting: Deferred[None] = Deferred(
            lambda _: self._give_up(spec.request_id, workspace)
        )
        self._waiting[spec.request_id] = waiting
        now = self._clock.monotonic()
        cost = spec.prompt_tokens + spec.max_tokens
        self._apply(
            self._limiter.offer(spec.request_id, workspace, cost, spec.deadline_at, now)
        )
        self._poll_later()
        return waiting

    def ended(self, request_id: str, outcome: Outcome) -> None:
        """Notes the end of a request that was admitted."""
        now = self._clock.monotonic()
        if outcome is Outcome.IN_TIME:
            self.budget.succeeded(now)
        self._apply(self._limiter.ended(request_id, outcome, now))

    def _give_up(self, request_id: str, workspace: str) -> None:
        self._waiting.pop(request_id, None)
        self._limiter.gone(request_id, workspace)

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
        if self._waiting and self._poll is None:
            self._poll = self._reactor.callLater(POLL_S, self._run_poll)

    def _run_poll(self) -> None:
        self._poll = None
        self._apply(self._limiter.poll(self._clock.monotonic()))
        self._poll_later()
