"""The one timer of a request, bounded by its time limit."""

import attrs

from ._effects import SetTimer


@attrs.define
class Alarm:
    """Numbers the timers, so that only the latest one counts.

    ``limit_at`` is when the request is given up. While ``paused`` the timer that
    was set last stays.
    """

    limit_at: float
    number: int = 0
    paused: bool = False

    def extend(self, limit_at: float) -> None:
        """Moves the limit later, never earlier."""
        self.limit_at = max(self.limit_at, limit_at)

    def set(self, at: float) -> list[SetTimer]:
        """Returns the effect that sets the timer, if it is to be set."""
        if self.paused:
            return []
        self.number += 1
        return [SetTimer(self.number, min(at, self.limit_at))]
