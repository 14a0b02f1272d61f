"""An endless backlog of batch items."""

from collections import deque
from random import Random

from ._deployment import BenchDeployment
from ._trace import BatchItem, draw_batch_item


class Backlog:
    """Provides items in the order of their numbers, returned items first."""

    def __init__(self, deployment: BenchDeployment, rng: Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._number = 0
        self._returned: deque[tuple[BatchItem, int]] = deque()

    def take(self) -> tuple[BatchItem, int]:
        """Returns the next item and the number of output tokens it already has."""
        if self._returned:
            return self._returned.popleft()
        item = draw_batch_item(self._deployment, self._number, self._rng)
        self._number += 1
        return item, 0

    def return_item(self, item: BatchItem, done_tokens: int) -> None:
        """Returns an unfinished item with its ``done_tokens`` to the backlog."""
        self._returned.append((item, done_tokens))
