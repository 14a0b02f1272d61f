"""The items of one job that can be leased."""

import heapq

from ._job_state import ItemStatus, JobState


class JobQueue:
    """Hands out the waiting items of a job, in order, each once until it returns.

    It is rebuilt from the job's state wherever a partition changes its owner and
    takes memory only for items that are out or came back.
    """

    def __init__(self, job: JobState) -> None:
        self.job = job
        self._out: set[int] = set()
        self._cursor = 0
        self._returned: list[int] = []
        self._suspects: list[int] = sorted(job.strikes)
        self._delayed: list[tuple[float, int]] = []

    def next_index(self, now: float, may_be_suspect: bool = True) -> int | None:
        """Returns the next item without taking it.

        Items that ran when a backend server was lost come first, or not at all
        without ``may_be_suspect``.
        """
        self._wake(now)
        for waiting in (self._suspects, self._returned):
            while waiting and not self._is_free(waiting[0]):
                heapq.heappop(waiting)
        if may_be_suspect and self._suspects:
            return self._suspects[0]
        if self._returned:
            return self._returned[0]
        while self._cursor < self.job.items and not self._is_fresh(self._cursor):
            self._cursor += 1
        return self._cursor if self._cursor < self.job.items else None

    def is_out(self, index: int) -> bool:
        """Tells whether an item was taken and is not back yet."""
        return index in self._out

    def take(self, index: int) -> None:
        """Takes an item out until it is put back."""
        self._out.add(index)

    def put_back(self, index: int, ready_at: float) -> None:
        """Returns an item, which can be taken again from ``ready_at`` on."""
        heapq.heappush(self._delayed, (ready_at, index))

    def forget(self, index: int) -> None:
        """Drops an item that was settled."""
        self._out.discard(index)

    def _wake(self, now: float) -> None:
        while self._delayed and self._delayed[0][0] <= now:
            _, index = heapq.heappop(self._delayed)
            self._out.discard(index)
            is_suspect = index in self.job.strikes
            heapq.heappush(self._suspects if is_suspect else self._returned, index)

    def _is_fresh(self, index: int) -> bool:
        return index not in self.job.strikes and self._is_free(index)

    def _is_free(self, index: int) -> bool:
        if index in self._out or index in self.job.attempts:
            return False
        return self.job.status[index] == ItemStatus.WAITING
