"""Chooses items for a pull, over the partitions of one owner."""

from collections.abc import Iterator, Mapping, Sequence

import attrs

from ..wire import ItemPull
from ._dispatch import DispatchOrder
from ._job_queue import JobQueue
from ._job_state import JobState
from ._state import PartitionState


@attrs.frozen
class ChosenItem:
    """An item taken from its job's queue; ``position`` is its owner's, from 0."""

    position: int
    job: JobState
    index: int


@attrs.frozen
class ChoiceRules:
    """Restrictions on which items are chosen.

    ``shares`` holds the workspaces' shares. Without ``may_claim`` no non-idempotent
    item is chosen, without ``may_be_suspect`` no item that was running when a backend
    server was lost, and without ``may_grant`` no item at all.
    """

    shares: Mapping[str, float] = attrs.field(factory=dict)
    may_claim: bool = True
    may_grant: bool = True
    may_be_suspect: bool = True


class ItemQueues:
    """The queues of a partition's jobs that are neither finished nor cancelled."""

    def __init__(self, state: PartitionState) -> None:
        self._queues: dict[str, JobQueue] = {}
        for job in state.jobs.values():
            self.open(job)

    def open(self, job: JobState) -> None:
        """Adds a queue for a job, unless the job is over."""
        if not job.is_over:
            self._queues[job.job_id] = JobQueue(job)

    def close(self, job_id: str) -> None:
        """Removes the queue of a job that is over."""
        self._queues.pop(job_id, None)

    def get(self, job_id: str) -> JobQueue | None:
        """Returns the queue of a job, or `None` if the job is over."""
        return self._queues.get(job_id)

    def ready(
        self,
        service: str,
        now: float,
        excluded: set[str],
        may_claim: bool,
        may_be_suspect: bool,
    ) -> dict[JobState, int]:
        """Returns the index of the next item of each job with an item to lease.

        ``excluded`` holds the ids of jobs that are being cancelled.
        """
        ready = {}
        for job_id, queue in self._queues.items():
            job = queue.job
            if job.service != service or job_id in excluded:
                continue
            if not (may_claim or job.is_repeatable):
                continue
            index = queue.next_index(now, may_be_suspect)
            if index is not None:
                ready[job] = index
        return ready


def choose_items(
    all_queues: Sequence[tuple[ItemQueues, set[str]]],
    order: DispatchOrder,
    pull: ItemPull,
    now: float,
    rules: ChoiceRules,
) -> Iterator[ChosenItem]:
    """Takes items for a pull from the queues, within its tokens and number of items.

    The first item may exceed the pull's tokens, so that large items run at all. At most
    one of the items is a suspect, because the loss of a backend server counts as a
    crash of every item that it held. Each element of ``all_queues`` holds a partition's
    queues and the ids of its jobs that are being cancelled.
    """
    may_be_suspect = rules.may_be_suspect
    ready = _all_ready(all_queues, pull, now, rules, may_be_suspect)
    tokens_left = pull.tokens
    for count in range(pull.max_items):
        fitting = [j for j, it in ready.items() if j.tokens[it.index] <= tokens_left]
        if not fitting and count == 0:
            fitting = list(ready)
        job = order.choose(fitting)
        if job is None:
            return
        item = ready.pop(job)
        queue = all_queues[item.position][0].get(job.job_id)
        assert queue is not None
        queue.take(item.index)
        tokens_left -= job.tokens[item.index]
        order.served(job, job.tokens[item.index], rules.shares)
        yield item
        if item.index in job.strikes:
            may_be_suspect = False
            ready = _all_ready(all_queues, pull, now, rules, may_be_suspect)
            continue
        following = queue.next_index(now, may_be_suspect)
        if following is not None:
            ready[job] = attrs.evolve(item, index=following)


def _all_ready(
    all_queues: Sequence[tuple[ItemQueues, set[str]]],
    pull: ItemPull,
    now: float,
    rules: ChoiceRules,
    may_be_suspect: bool,
) -> dict[JobState, ChosenItem]:
    ready: dict[JobState, ChosenItem] = {}
    for position, (queues, excluded) in enumerate(all_queues):
        found = queues.ready(
            pull.service, now, excluded, rules.may_claim, may_be_suspect
        )
        for job, index in found.items():
            ready[job] = ChosenItem(position, job, index)
    return ready
