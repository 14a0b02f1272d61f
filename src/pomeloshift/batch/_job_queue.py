"""The queue of the items of one job that can be leased."""

import heapq

from ._job_state import ItemStatus, JobState


class JobQueue:
    """Offers the waiting items of a job in order, except those that are taken.

    A new owner of the partition rebuilds the queue from the job's state. The queue uses
    memory only for items that are taken or were put back.
    """

    def __init__(self, job: JobState) -> None:
        self.job = job
        self._taken: set[int] = set()
        self._cursor = 0
        self._returned: list[int] = []
        self._suspects: list[int] = sorted(job.strikes)
        self._delayed: list[tuple[float, int]] = []

    def next_index(self, now: float, may_be_suspect: bool = True) -> int | None:
        """Returns the index of the next item without taking it, `None` without one.

        Suspects, which were running when a backend server was lost, come first.
        Without ``may_be_suspect`` they are skipped.
        """
        self._requeue_ready(now)
        for waiting in (self._suspects, self._returned):
            while waiting and not self._is_free(waiting[0]):
                heapq.heappop(waiting)
        if may_be_suspect and self._suspects:
            return self._suspects[0]
        if self._returned:
            return self._returned[0]
        while self._cursor < self.job.items and not self._is_new(self._cursor):
            self._cursor += 1
        return self._cursor if self._cursor < self.job.items else None

    def is_taken(self, index: int) -> bool:
        """Returns whether an item was taken and not put back yet."""
        return index in self._taken

    def take(self, index: int) -> None:
        """Excludes an item from `next_index` until it is put back."""
        self._taken.add(index)

    def put_back(self, index: int, ready_at: float) -> None:
        """Puts an item back, to be offered again from ``ready_at`` (seconds) on."""
        heapq.heappush(self._delayed, (ready_at, index))

    def remove(self, index: int) -> None:
        """Removes an item that is finished."""
        self._taken.discard(index)

    def _requeue_ready(self, now: float) -> None:
        while self._delayed and self._delayed[0][0] <= now:
            _, index = heapq.heappop(self._delayed)
            self._taken.discard(index)
            is_suspect = index in self.job.strikes
            heapq.heappush(self._suspects if is_suspect else self._returned, index)

    def _is_new(self, index: int) -> bool:
        return index not in self.job.strikes and self._is_free(index)

    def _is_free(self, index: int) -> bool:
        if index in self._taken or index in self.job.attempts:
            return False
        return self.job.status[index] == ItemStatus.WAITING
