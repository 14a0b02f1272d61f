"""The backlog of batch items, which never runs dry."""

from collections import deque
from random import Random

from ._deployment import BenchDeployment
from ._trace import BatchItem, draw_batch_item


class Backlog:
    """Hands out items in order, returned ones first."""

    def __init__(self, deployment: BenchDeployment, rng: Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._number = 0
        self._returned: deque[tuple[BatchItem, int]] = deque()

    def take(self) -> tuple[BatchItem, int]:
        """Returns the next item and the tokens it has already."""
        if self._returned:
            return self._returned.popleft()
        item = draw_batch_item(self._deployment, self._number, self._rng)
        self._number += 1
        return item, 0

    def give_back(self, item: BatchItem, done_tokens: int) -> None:
        """Takes an item back that was not finished."""
        self._returned.append((item, done_tokens))
