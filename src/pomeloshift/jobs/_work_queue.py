"""Chooses the next item to run.

The load it answers: bursts of jobs beyond what the engines finish in time. Items that
can still be done in time go first, those due soonest before others; an item that was
begun goes before fresh ones of its job, since little of it is left.
"""

from collections.abc import Callable

import attrs

from ._item import ItemKey
from ._job import Job
from ._job_table import JobTable
from ._ownership import claim_of
from ._share import WHOLE, Share

# Items due this close together are equally urgent, so that entries that choose at the
# same moment choose different ones.
SAME_DUE_S = 2.0
# How long an item that nobody runs is left to the entry that it was dealt to: a look
# at the batch work and the time until the others hear of it. The others' turns are
# spread over as long again, so that they differ.
TURN_S = 0.15
SALT_BITS = 48  # of a claim as well
# An item whose run broke without an event waits this long, and twice as long after
# each further one: it may be what breaks engines.
BREAK_PAUSE_S = 0.3
MAX_BREAK_PAUSE_S = 10.0


@attrs.frozen
class WorkItem:
    """An item to run and when it is due (monotonic seconds).

    ``is_own`` says that it was dealt to an engine of this entry; ``spread`` orders
    equally urgent items, otherwise at each entry.
    """

    job: Job
    index: int
    due: float
    is_late: bool = False
    is_own: bool = True
    spread: int = 0

    @property
    def key(self) -> ItemKey:
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
    running: set[ItemKey] = attrs.field(factory=set)
    held: dict[ItemKey, float] = attrs.field(factory=dict)
    _not_before: dict[ItemKey, float] = attrs.field(factory=dict)
    _breaks: dict[ItemKey, int] = attrs.field(factory=dict)
    _ready_since: dict[ItemKey, float] = attrs.field(factory=dict)

    def defer(self, key: ItemKey, until: float) -> None:
        """Keeps an item from being run before ``until``."""
        self._not_before[key] = until

    def broke(self, key: ItemKey, has_progressed: bool, now: float) -> None:
        """Notes that a run of an item broke off; the item waits if it got nowhere."""
        if has_progressed:
            self._breaks.pop(key, None)
            return
        breaks = self._breaks.get(key, 0)
        self._breaks[key] = breaks + 1
        self.defer(key, now + min(BREAK_PAUSE_S * 2**breaks, MAX_BREAK_PAUSE_S))

    def claims(self) -> frozenset[int]:
        """Returns the items that this entry keeps, as others are told of them."""
        return frozenset(claim_of(*key) for key in self.running | self.held.keys())

    def pending(
        self,
        table: JobTable,
        deadlines: dict[str, float],
        now: float,
        event_s: float,
        run_s: float,
        shares: dict[str, Share] | None = None,
    ) -> list[WorkItem]:
        """Returns the items to run, the most urgent first.

        ``deadlines`` holds, for each queue, how long after a job's acceptance its
        results are due; ``run_s`` is how long an item usually runs, and ``event_s``
        what each event of its progress saves. Outside this entry's ``shares``, by
        queue, items are returned once nobody has run them for a while.
        """
        items = []
        ready_since: dict[ItemKey, float] = {}
        for job in table.jobs.values():
            if not job.is_open:
                continue
            due = job.accepted_at + deadlines.get(job.queue, 0.0)
            share = (shares or {}).get(job.queue, WHOLE)
            for index in job.pending:
                key = (job.id, index)
                if not self._is_ready(key, now):
                    continue
                ready_since[key] = self._ready_since.get(key, now)
                claim = claim_of(*key)
                is_own = share.holds(claim)
                spread = claim ^ self.salt
                if not is_own and now - ready_since[key] < _turn_s(spread):
                    continue
                events = job.events_done.get(index, 0)
                rest_s = max(0.0, run_s - event_s * events)
                is_late = now + rest_s > due
                items.append(WorkItem(job, index, due, is_late, is_own, spread))
        self._ready_since = ready_since
        self._forget_closed(table)
        items.sort(key=self._rank)
        return items

    def _forget_closed(self, table: JobTable) -> None:
        """Drops what is kept of items that no longer wait, whoever settled them."""
        for kept in (self._breaks, self._not_before):
            for key in list(kept):
                job = table.jobs.get(key[0])
                if job is None or key[1] not in job.pending:
                    del kept[key]

    def _is_ready(self, key: ItemKey, now: float) -> bool:
        if key in self.running:
            return False
        until = self._not_before.get(key)
        if until is not None:
            if until > now:
                return False
            del self._not_before[key]
        return not self.is_claimed(claim_of(*key))

    def _rank(self, work: WorkItem) -> tuple[bool, int, int, bool, int]:
        events = work.job.events_done.get(work.index, 0)
        due = round(work.due / SAME_DUE_S)
        return work.is_late, due, -events, not work.is_own, work.spread


def _turn_s(spread: int) -> float:
    return TURN_S * (1 + spread / 2**SALT_BITS)
