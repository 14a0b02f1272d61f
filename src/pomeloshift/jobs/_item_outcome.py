"""Decides whether an item is retried after a run."""

from collections.abc import Sequence
from enum import Enum

import attrs

UNPROCESSABLE = 422
FAILED = 500
# An item becomes a dead letter after this multiple of the allowed failures even if few
# engines caused them. The platform allows three; entries that end before they have
# recorded a failure need a reserve.
FAILURES_FACTOR = 2


class AfterRun(Enum):
    """What happens to an item after a run without a complete output."""

    AGAIN = "again"
    COUNT_FAILURE = "count_failure"
    DEAD_LETTER = "dead_letter"


@attrs.frozen
class ItemPolicy:
    """Decides from an engine's response status whether an item is retried.

    After ``max_failures`` responses of 500, by as many of the ``engines`` engines of
    its service as possible, the item becomes a dead letter: an engine that fails
    everything does not prove that an item fails. A single 422 has the same effect,
    because it means that the item can never be processed.
    """

    max_failures: int
    engines: int

    def after(self, status: int, failed_at: Sequence[str]) -> AfterRun:
        """Returns what happens next.

        ``failed_at`` holds the engine of each 500 that the item got, this one included.
        """
        if status == UNPROCESSABLE:
            return AfterRun.DEAD_LETTER
        if status != FAILED:
            return AfterRun.AGAIN
        if self._is_exhausted(failed_at):
            return AfterRun.DEAD_LETTER
        return AfterRun.COUNT_FAILURE

    def _is_exhausted(self, failed_at: Sequence[str]) -> bool:
        if len(failed_at) >= FAILURES_FACTOR * self.max_failures:
            return True
        distinct = min(self.max_failures, self.engines)
        return len(failed_at) >= self.max_failures and len(set(failed_at)) >= distinct
