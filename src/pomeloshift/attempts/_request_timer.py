"""The timer of a request, bounded by the request's time limit."""

import attrs

from ._effects import SetTimer


@attrs.define
class RequestTimer:
    """Numbers each timer that is set, so that earlier ones are ignored.

    ``limit_at`` is when the request expires, in seconds on the monotonic clock of
    the caller. While ``is_paused``, the timer that was set last stays in force.
    """

    limit_at: float
    number: int = 0
    is_paused: bool = False

    def extend(self, limit_at: float) -> None:
        """Extends the limit to ``limit_at``; a later limit stays."""
        self.limit_at = max(self.limit_at, limit_at)

    def set(self, at: float) -> list[SetTimer]:
        """Returns the effect that sets the timer, or none while paused."""
        if self.is_paused:
            return []
        self.number += 1
        return [SetTimer(self.number, min(at, self.limit_at))]
