"""Chooses the next item to run.

The load it answers: bursts of jobs beyond what the engines finish in time. Items that
can still be done in time go first, those due soonest before others; an item that was
begun goes before fresh ones of its job, since little of it is left.
"""

import attrs

from ._job import Job
from ._job_book import JobBook
from ._ownership import partition_of


@attrs.frozen
class WorkItem:
    """An item to run and when it is due (monotonic seconds)."""

    job: Job
    index: int
    due: float


@attrs.define
class WorkQueue:
    """Orders the items of the jobs that this entry owns."""

    partitions: int
    owned: frozenset[int] = frozenset()
    running: set[tuple[str, int]] = attrs.field(factory=set)
    _not_before: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def owns(self, job: Job) -> bool:
        """Whether this entry runs a job's items."""
        return partition_of(job.id, self.partitions) in self.owned

    def defer(self, job: Job, index: int, until: float) -> None:
        """Keeps an item from being run before ``until``."""
        self._not_before[job.id, index] = until

    def pending(
        self, book: JobBook, deadlines: dict[str, float], now: float, run_s: float
    ) -> list[WorkItem]:
        """Returns the items to run, the most urgent first.

        ``deadlines`` holds, for each queue, how long after a job's acceptance its
        results are due; ``run_s`` is how long an item usually runs.
        """
        jobs = [job for job in book.jobs.values() if job.is_open and self.owns(job)]
        items = []
        for job in jobs:
            due = job.accepted_at + deadlines.get(job.queue, 0.0)
            for index in job.pending:
                if self._is_ready((job.id, index), now):
                    items.append(WorkItem(job, index, due))
        items.sort(key=lambda w: self._rank(w, now, run_s))
        return items

    def _is_ready(self, key: tuple[str, int], now: float) -> bool:
        if key in self.running:
            return False
        until = self._not_before.get(key)
        if until is None:
            return True
        if until > now:
            return False
        del self._not_before[key]
        return True

    @staticmethod
    def _rank(work: WorkItem, now: float, run_s: float) -> tuple[bool, float, int, int]:
        progress = work.job.progress.get(work.index)
        events = progress.event_id if progress else 0
        is_late = now + run_s > work.due
        return is_late, work.due, -events, work.index
