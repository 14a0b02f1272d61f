"""Decides whether an item is retried after a run."""

from enum import Enum

import attrs

UNPROCESSABLE = 422
FAILED = 500


class AfterRun(Enum):
    """What happens to an item after a run without a complete output."""

    AGAIN = "again"
    COUNT_FAILURE = "count_failure"
    DEAD_LETTER = "dead_letter"


@attrs.frozen
class ItemPolicy:
    """Decides from an engine's response status whether an item is retried.

    After ``max_failures`` responses of 500 the item becomes a dead letter. A single 422
    has the same effect, because it means that the item can never be processed.
    """

    max_failures: int

    def after(self, status: int, failures: int) -> AfterRun:
        """Returns what happens next; ``failures`` counts the item's earlier 500s."""
        if status == UNPROCESSABLE:
            return AfterRun.DEAD_LETTER
        if status == FAILED:
            if failures + 1 >= self.max_failures:
                return AfterRun.DEAD_LETTER
            return AfterRun.COUNT_FAILURE
        return AfterRun.AGAIN
