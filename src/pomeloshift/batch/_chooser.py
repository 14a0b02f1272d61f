"""Chooses items for a pull."""

from collections.abc import Iterator, Mapping

import attrs

from ..wire import ItemPull
from ._dispatch import DispatchOrder
from ._job_queue import JobQueue
from ._job_state import JobState
from ._state import PartitionState


@attrs.frozen
class ChosenItem:
    """An item that was taken out of its queue."""

    job: JobState
    index: int


class ItemChooser:
    """Holds the queues of the jobs that are not over and chooses among them."""

    def __init__(self, state: PartitionState) -> None:
        self._queues: dict[str, JobQueue] = {}
        self._order = DispatchOrder()
        for job in state.jobs.values():
            self.open(job)

    def open(self, job: JobState) -> None:
        """Makes a job's items available."""
        if not job.is_over:
            self._queues[job.job_id] = JobQueue(job)

    def close(self, job_id: str) -> None:
        """Drops a job that is over."""
        self._queues.pop(job_id, None)

    def queue(self, job_id: str) -> JobQueue | None:
        """Returns the queue of a job that is not over."""
        return self._queues.get(job_id)

    def choose(
        self,
        pull: ItemPull,
        now: float,
        excluded: frozenset[str],
        shares: Mapping[str, float],
        may_claim: bool,
    ) -> Iterator[ChosenItem]:
        """Takes out items for a pull, within its tokens and number of items."""
        ready = self._ready(pull.service, now, excluded, may_claim)
        room = pull.tokens
        for _ in range(pull.max_items):
            fitting = [job for job, index in ready.items() if job.tokens[index] <= room]
            job = self._order.choose(fitting)
            if job is None:
                return
            index = ready[job]
            queue = self._queues[job.job_id]
            queue.take(index)
            room -= job.tokens[index]
            self._order.served(job, job.tokens[index], shares)
            yield ChosenItem(job, index)
            following = queue.next_index(now)
            if following is None:
                del ready[job]
            else:
                ready[job] = following

    def _ready(
        self, service: str, now: float, excluded: frozenset[str], may_claim: bool
    ) -> dict[JobState, int]:
        ready = {}
        for job_id, queue in self._queues.items():
            job = queue.job
            if job.service != service or job_id in excluded:
                continue
            if not (may_claim or job.is_repeatable):
                continue
            index = queue.next_index(now)
            if index is not None:
                ready[job] = index
        return ready
