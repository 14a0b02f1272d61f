"""The measurements of a load run."""

import attrs

from ._times import TimeHistogram, TimeSummary


@attrs.frozen
class LoadResult:
    """The measurements of a load run.

    ``first_token`` and ``whole_answer`` are measured from the time at which a request
    was due, not from when it was sent, so that they include every delay.
    ``between_tokens`` is the time between two tokens of a response. ``late`` is how
    much later than due the requests were sent. If it is large, the load tool was too
    slow, and the run should be repeated at a lower rate.

    ``errors`` counts the requests without a complete response by error code.
    """

    planned: int
    complete: int
    seconds: float
    errors: dict[str, int]
    tokens: int
    first_token: TimeSummary
    between_tokens: TimeSummary
    whole_answer: TimeSummary
    late: TimeSummary


@attrs.define
class Tally:
    """Collects the outcomes and times of requests."""

    complete: int = 0
    tokens: int = 0
    errors: dict[str, int] = attrs.field(factory=dict)
    first_token: TimeHistogram = attrs.field(factory=TimeHistogram)
    between_tokens: TimeHistogram = attrs.field(factory=TimeHistogram)
    whole_answer: TimeHistogram = attrs.field(factory=TimeHistogram)
    late: TimeHistogram = attrs.field(factory=TimeHistogram)

    def fail(self, code: str) -> None:
        """Counts a request that got no complete response."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def result(self, planned: int, seconds: float) -> LoadResult:
        """Returns the measurements of a run that took ``seconds``."""
        return LoadResult(
            planned,
            self.complete,
            seconds,
            self.errors,
            self.tokens,
            self.first_token.summary(),
            self.between_tokens.summary(),
            self.whole_answer.summary(),
            self.late.summary(),
        )
