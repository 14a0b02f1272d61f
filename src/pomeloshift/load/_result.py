"""What a load run measured."""

import attrs

from ._times import Times, TimeSummary


@attrs.frozen
class LoadResult:
    """All times count from when a request was due, not from when it was sent.

    ``late`` is how much later than due requests were sent: where it is large, the
    load tool was too slow and the run should be repeated at a lower rate.
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
    """Collects the ends of requests."""

    complete: int = 0
    tokens: int = 0
    errors: dict[str, int] = attrs.field(factory=dict)
    first_token: Times = attrs.field(factory=Times)
    between_tokens: Times = attrs.field(factory=Times)
    whole_answer: Times = attrs.field(factory=Times)
    late: Times = attrs.field(factory=Times)

    def fail(self, code: str) -> None:
        """Counts a request that got no whole answer."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def result(self, planned: int, seconds: float) -> LoadResult:
        """Returns the measures of the run."""
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
