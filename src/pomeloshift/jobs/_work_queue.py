"""Chooses the next item to run.

The load it answers: bursts of jobs beyond what the engines finish in time. Items that
can still be done in time go first, those due soonest before others; an item that was
begun goes before fresh ones of its job, since little of it is left.
"""

from collections.abc import Callable

import attrs

from ._job import Job
from ._job_book import JobBook
from ._ownership import claim_of

Key = tuple[str, int]

# Items due this close together are equally urgent, so that entries that choose at the
# same moment choose different ones.
SAME_DUE_S = 2.0


@attrs.frozen
class WorkItem:
    """An item to run and when it is due (monotonic seconds)."""

    job: Job
    index: int
    due: float
    is_late: bool = False

    @property
    def key(self) -> Key:
        """The job's id and the item's position in it."""
        return self.job.id, self.index


@attrs.define
class WorkQueue:
    """Orders the items of all jobs that no other entry runs.

    ``is_claimed`` tells whether another entry runs an item; ``salt`` differs between
    entries, so that they rarely choose the same item at once. Items in ``held`` were
    stopped here, and are kept for this entry until the time given.
    """

    salt: int
    is_claimed: Callable[[int], bool]
    running: set[Key] = attrs.field(factory=set)
    held: dict[Key, float] = attrs.field(factory=dict)
    _not_before: dict[Key, float] = attrs.field(factory=dict)

    def defer(self, key: Key, until: float) -> None:
        """Keeps an item from being run before ``until``."""
        self._not_before[key] = until

    def claims(self) -> frozenset[int]:
        """Returns the items that this entry keeps, as others are told of them."""
        return frozenset(claim_of(*key) for key in self.running | self.held.keys())

    def pending(
        self,
        book: JobBook,
        deadlines: dict[str, float],
        now: float,
        event_s: float,
        run_s: float,
    ) -> list[WorkItem]:
        """Returns the items to run, the most urgent first.

        ``deadlines`` holds, for each queue, how long after a job's acceptance its
        results are due; ``run_s`` is how long an item usually runs, and ``event_s``
        what each event of its progress saves.
        """
        items = []
        for job in book.jobs.values():
            if not job.is_open:
                continue
            due = job.accepted_at + deadlines.get(job.queue, 0.0)
            for index in job.pending:
                if self._is_ready((job.id, index), now):
                    events = job.events_done.get(index, 0)
                    rest_s = max(0.0, run_s - event_s * events)
                    items.append(WorkItem(job, index, due, now + rest_s > due))
        items.sort(key=self._rank)
        return items

    def _is_ready(self, key: Key, now: float) -> bool:
        if key in self.running:
            return False
        until = self._not_before.get(key)
        if until is not None:
            if until > now:
                return False
            del self._not_before[key]
        return not self.is_claimed(claim_of(*key))

    def _rank(self, work: WorkItem) -> tuple[bool, int, int, int]:
        events = work.job.events_done.get(work.index, 0)
        spread = claim_of(*work.key) ^ self.salt
        return work.is_late, round(work.due / SAME_DUE_S), -events, spread
