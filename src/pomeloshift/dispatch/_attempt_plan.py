"""Decides what follows each attempt to have a request run."""

from enum import Enum

import attrs


class Step(Enum):
    """What to do next with a request."""

    TRY = "try"
    REFUSE = "refuse"
    FAIL = "fail"


@attrs.define
class AttemptPlan:
    """Follows one request through its attempts.

    ``is_repeatable`` says whether it may run twice, ``max_runs`` on how many engines.
    A request counts as run from the moment its bytes were written to an engine unless
    the engine proves otherwise.

        plan = AttemptPlan(is_repeatable=False, max_runs=1, deadline=10.0)
        plan.sent()
        plan.not_run("e1")  # the engine said so
        plan.next_step(now=1.0) is Step.TRY
    """

    is_repeatable: bool
    max_runs: int
    deadline: float
    runs: int = 0
    refused_by: set[str] = attrs.field(factory=set)
    failed_at: set[str] = attrs.field(factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have begun to work on the request."""
        return self.runs > 0

    def sent(self) -> None:
        """Notes that bytes of the request were written to an engine."""
        self.runs += 1

    def not_run(self, engine_id: str) -> None:
        """Notes that the engine proved that it did not run the request."""
        self.runs -= 1
        self.refused_by.add(engine_id)

    def unreachable(self, engine_id: str) -> None:
        """Notes that no connection to the engine could be opened."""
        self.refused_by.add(engine_id)

    def broke(self, engine_id: str) -> None:
        """Notes that an engine that may have run the request gave no whole answer."""
        self.failed_at.add(engine_id)

    @property
    def excluded(self) -> frozenset[str]:
        """The engines that this request is not sent to again."""
        return frozenset(self.refused_by | self.failed_at)

    def next_step(self, now: float) -> Step:
        """Returns whether the request may be tried again."""
        if now >= self.deadline:
            return Step.FAIL if self.may_have_run else Step.REFUSE
        if not self.may_have_run:
            return Step.TRY
        if self.is_repeatable and self.runs < self.max_runs:
            return Step.TRY
        return Step.FAIL

    def failure_status(self, now: float) -> int:
        """Returns the status of the final failure.

        503 promises that the request has not run and never will.
        """
        if not self.may_have_run:
            return 503
        return 504 if now >= self.deadline else 502
