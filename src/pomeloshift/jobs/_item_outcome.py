"""Decides what follows an item's run."""

from enum import Enum

import attrs

UNPROCESSABLE = 422
FAILED = 500


class AfterRun(Enum):
    """What to do with an item after a run without a whole output."""

    AGAIN = "again"
    COUNT_FAILURE = "count_failure"
    DEAD_LETTER = "dead_letter"


@attrs.frozen
class ItemPolicy:
    """Judges the answers of engines to an item.

    ``max_failures`` answers of 500 make an item a dead letter; one of 422 does, since
    it says that the item can never be done.
    """

    max_failures: int

    def after(self, status: int, failures: int) -> AfterRun:
        """Returns what follows an answer, with ``failures`` counted before it."""
        if status == UNPROCESSABLE:
            return AfterRun.DEAD_LETTER
        if status == FAILED:
            if failures + 1 >= self.max_failures:
                return AfterRun.DEAD_LETTER
            return AfterRun.COUNT_FAILURE
        return AfterRun.AGAIN
