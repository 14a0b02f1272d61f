"""Decides after each attempt whether a request is retried, refused or failed."""

from enum import Enum

import attrs


class Step(Enum):
    """What to do next with a request.

    ``TRY`` sends it to an engine that is not excluded. ``REFUSE`` ends it with a
    response that guarantees that it has not run; ``FAIL`` ends it without that
    guarantee.
    """

    TRY = "try"
    REFUSE = "refuse"
    FAIL = "fail"


@attrs.define
class AttemptPlan:
    """Tracks the attempts of one request.

    ``is_repeatable`` is set if the request is safe to run more than once, on at most
    ``max_runs`` engines. ``deadline`` is a monotonic time in seconds. A request counts
    as run once bytes of it were written to an engine, unless that engine reports that
    the request did not run. ``refused_by`` holds the ids of the engines that did not
    run the request, ``failed_at`` those of engines that may have run it without a
    complete response. Once ``is_stopped`` is set, the request is not sent again.

        plan = AttemptPlan(is_repeatable=False, max_runs=1, deadline=10.0)
        plan.record_sent()
        plan.record_not_run("e1")  # the engine said so
        plan.next_step(now=1.0) is Step.TRY
    """

    is_repeatable: bool
    max_runs: int
    deadline: float
    runs: int = 0
    refused_by: set[str] = attrs.field(factory=set)
    failed_at: set[str] = attrs.field(factory=set)
    is_stopped: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have started to execute the request."""
        return self.runs > 0

    def record_sent(self) -> None:
        """Records that bytes of the request were written to an engine."""
        self.runs += 1

    def record_not_run(self, engine_id: str) -> None:
        """Records an engine's guarantee that it did not run the request."""
        self.runs -= 1
        self.refused_by.add(engine_id)

    def record_unreachable(self, engine_id: str) -> None:
        """Records that no connection to the engine could be opened."""
        self.refused_by.add(engine_id)

    def record_failure(self, engine_id: str) -> None:
        """Records that an engine may have run the request but did not complete it."""
        self.failed_at.add(engine_id)

    @property
    def excluded(self) -> frozenset[str]:
        """The ids of the engines that this request is not sent to again."""
        return frozenset(self.refused_by | self.failed_at)

    def next_step(self, now: float) -> Step:
        """Returns the next step at ``now``; no attempt starts after the deadline."""
        if now >= self.deadline or self.is_stopped:
            return Step.FAIL if self.may_have_run else Step.REFUSE
        if not self.may_have_run:
            return Step.TRY
        if self.is_repeatable and self.runs < self.max_runs:
            return Step.TRY
        return Step.FAIL

    def failure_status(self, now: float) -> int:
        """Returns the HTTP status of the final failure.

        503 guarantees that the request has not run and never will. Otherwise the
        status is 504 after the deadline and 502 before it.
        """
        if not self.may_have_run:
            return 503
        return 504 if now >= self.deadline else 502
