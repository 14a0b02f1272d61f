"""Chooses the next item to run.

It is designed for bursts of jobs that exceed what the engines can finish in time. Items
that can still finish by the time they are due go first, in order of that time. A partly
finished item goes before new ones of its job, because little of it is left.
"""

from collections.abc import Callable, Collection, Mapping

import attrs

from ..dispatch import SoftwareVersion
from ._item import ItemKey
from ._job import Job
from ._job_table import JobTable
from ._ownership import claim_of
from ._share import ALL_ITEMS, Share

# Items whose due times round to the same multiple of this are equally urgent. Entries
# that choose at the same moment thus rarely choose the same item.
DUE_RESOLUTION_S = 2.0
# How long an unclaimed item is left to the entry that it is assigned to: one
# poll of the batch work and the time until the peers learn of it. Each other entry adds
# a jitter of up to the same length, so that they do not all take the item at once.
TAKEOVER_DELAY_S = 0.15
# How long an item that failed at all of this entry's engines with free slots is left to
# other entries.
UNTRIED_DELAY_S = 1.0
# How long an item with progress waits for engines of its version before it is started
# again at another one: longer than an entry holds an item that it has stopped, plus the
# time until others know its progress.
OTHER_VERSION_DELAY_S = 2.5
SALT_BITS = 48  # also the width of a claim
# How long an item waits after it was rejected, or after a run that broke off without
# progress: less than a failed engine is avoided, so that the next run is at another
# one. The wait does not grow, because engines that crash are no fault of their items.
RETRY_DELAY_S = 0.3


def _never(name: str) -> bool:
    """The default of ``has_ended``: no process is known to have been replaced."""
    return False


def _accepted_in(job: Job, index: int) -> str | None:
    """The default of ``queue_of``: the queue of the route that accepted the job."""
    return job.queue


@attrs.frozen
class WorkItem:
    """An item to run and when it is due (monotonic seconds).

    ``is_late`` states that the item is not expected to finish when it is due.
    ``is_own`` states that the item is assigned to an engine of this entry.
    ``tie_break`` orders equally urgent items, differently at each entry.
    ``rejected_at`` holds when engines last rejected the item here. ``keeps_version``
    states that its progress is worth waiting for an engine of the same version.
    """

    job: Job
    index: int
    due: float
    is_late: bool = False
    is_own: bool = True
    tie_break: int = 0
    rejected_at: Mapping[str, float] = attrs.field(factory=dict)
    keeps_version: bool = True

    @property
    def key(self) -> ItemKey:
        """The job's id and the item's position in it."""
        return self.job.id, self.index

    @property
    def tokens(self) -> int:
        """The item's prompt tokens and its largest number of output tokens."""
        return self.job.items[self.index].tokens

    def choose(
        self,
        free: dict[str, int],
        versions: Mapping[str, SoftwareVersion] | None = None,
    ) -> str:
        """Returns the engine to run the item at.

        Engines at which it has not failed go first, then those at which its progress
        can be resumed, then those that did not reject it or did so the longest ago,
        then those with the most free slots. ``free`` maps the ids of the engines to
        their free slots, and ``versions`` to the versions of their software.
        """
        failed_at = self.job.failures.get(self.index, ())
        software = self.job.resumable_at.get(self.index)
        versions = versions or {}

        def rank(name: str) -> tuple[bool, bool, float, int]:
            rejected_at = self.rejected_at.get(name, float("-inf"))
            can_resume = self.keeps_version and versions.get(name) == software
            return name not in failed_at, can_resume, -rejected_at, free[name]

        return max(free, key=rank)


@attrs.define
class WorkQueue:
    """Orders the items, over all jobs, that no other entry has claimed.

    ``is_claimed`` returns whether another entry runs an item or holds it. ``name`` is
    this process's name in the job log, and ``has_ended`` returns whether the process
    with a name has been replaced. ``queue_of`` returns the name of the queue that an
    item waits in, None if it has no route. ``salt`` differs between entries, so that
    they rarely choose the same item at once. ``reserved`` maps each item that was
    stopped here to the time until which it is reserved for this entry.
    """

    salt: int
    is_claimed: Callable[[int], bool]
    name: str = ""
    has_ended: Callable[[str], bool] = attrs.field(default=_never)
    queue_of: Callable[[Job, int], str | None] = attrs.field(default=_accepted_in)
    running: set[ItemKey] = attrs.field(factory=set)
    reserved: dict[ItemKey, float] = attrs.field(factory=dict)
    _not_before: dict[ItemKey, float] = attrs.field(factory=dict)
    _rejected_at: dict[ItemKey, dict[str, float]] = attrs.field(factory=dict)
    _ready_since: dict[ItemKey, float] = attrs.field(factory=dict)
    # Since when no run of an item has made progress.
    _stuck_since: dict[ItemKey, float] = attrs.field(factory=dict)

    def defer(self, key: ItemKey, until: float) -> None:
        """Excludes an item from `pending` until ``until`` (monotonic seconds)."""
        self._not_before[key] = until

    def record_broken_run(self, key: ItemKey, has_progressed: bool, now: float) -> None:
        """Records a run that broke off; without progress the item is deferred."""
        if has_progressed:
            self._stuck_since.pop(key, None)
            return
        self._stuck_since.setdefault(key, now)
        self.defer(key, now + RETRY_DELAY_S)

    def record_rejection(self, key: ItemKey, engine: str, now: float) -> None:
        """Defers an item that an engine rejected; other engines are preferred next."""
        self._rejected_at.setdefault(key, {})[engine] = now
        self._stuck_since.setdefault(key, now)
        self.defer(key, now + RETRY_DELAY_S)

    def claims(self) -> frozenset[int]:
        """Returns the claims of items that run or are reserved here, for the peers."""
        return frozenset(claim_of(*key) for key in self.running | self.reserved.keys())

    def pending(
        self,
        table: JobTable,
        due_after_s: dict[str, float],
        now: float,
        event_s: float,
        run_s: float,
        shares: dict[str, Share] | None = None,
        engines: dict[str, dict[str, SoftwareVersion]] | None = None,
        serving: Collection[SoftwareVersion] = (),
    ) -> list[WorkItem]:
        """Returns the items to run, the most urgent first; none without a route.

        ``due_after_s`` holds, for each queue, the seconds from a job's acceptance until
        its items are due. ``run_s`` is the typical duration of a whole run; each event
        that an item already has shortens the rest of its run by ``event_s``. ``shares``
        holds this entry's share of each queue; other items are returned once no entry
        has run them for `TAKEOVER_DELAY_S` and a jitter. ``engines`` holds, for each
        queue, this entry's engines with free slots that can run its items, with the
        versions of their software; items that failed at all of them are returned once
        no entry has run them for `UNTRIED_DELAY_S` longer than that. ``serving`` holds
        the versions that engines of all entries run; items whose progress can be
        resumed there, but not at ``engines``, are returned `OTHER_VERSION_DELAY_S`
        later.
        """
        items = []
        ready_since: dict[ItemKey, float] = {}
        versions_of = {
            queue: frozenset(usable.values())
            for queue, usable in (engines or {}).items()
        }
        for job in table.jobs.values():
            if not job.is_open:
                continue
            for index in job.pending:
                key = (job.id, index)
                if not self._is_ready(key, now):
                    continue
                if self._is_claimed_in_log(job, index, now):
                    continue
                queue = self.queue_of(job, index)
                if queue is None:
                    continue
                due = job.accepted_at + due_after_s.get(queue, 0.0)
                share = (shares or {}).get(queue, ALL_ITEMS)
                usable = (engines or {}).get(queue, {})
                versions = versions_of.get(queue, frozenset())
                ready_since[key] = self._ready_since.get(key, now)
                claim = claim_of(*key)
                is_own = share.holds(claim)
                tie_break = claim ^ self.salt
                delay_s = 0.0 if is_own else _takeover_s(tie_break)
                if usable and usable.keys() <= set(job.failures.get(index, ())):
                    delay_s = UNTRIED_DELAY_S + _takeover_s(tie_break)
                stuck_s = now - self._stuck_since.get(key, now)
                keeps_version = stuck_s < OTHER_VERSION_DELAY_S
                software = job.resumable_at.get(index)
                is_elsewhere = software in serving and software not in versions
                if usable and keeps_version and is_elsewhere:
                    delay_s = OTHER_VERSION_DELAY_S + _takeover_s(tie_break)
                if now - ready_since[key] < delay_s:
                    continue
                events = job.events_done.get(index, 0)
                rest_s = max(0.0, run_s - event_s * events)
                is_late = now + rest_s > due
                rejected_at = self._rejected_at.get(key, {})
                items.append(
                    WorkItem(
                        job,
                        index,
                        due,
                        is_late,
                        is_own,
                        tie_break,
                        rejected_at,
                        keeps_version,
                    )
                )
        self._ready_since = ready_since
        self._remove_finished(table)
        items.sort(key=self._rank)
        return items

    def _remove_finished(self, table: JobTable) -> None:
        """Removes the retry state of items that finished, at whichever entry."""
        for by_item in (self._not_before, self._rejected_at, self._stuck_since):
            for key in list(by_item):
                job = table.jobs.get(key[0])
                if job is None or key[1] not in job.pending:
                    del by_item[key]

    def _is_ready(self, key: ItemKey, now: float) -> bool:
        if key in self.running:
            return False
        until = self._not_before.get(key)
        if until is not None:
            if until > now:
                return False
            del self._not_before[key]
        return not self.is_claimed(claim_of(*key))

    def _is_claimed_in_log(self, job: Job, index: int, now: float) -> bool:
        claim = job.claims.get(index)
        if claim is None or not claim.excludes(self.name, now):
            return False
        return not self.has_ended(claim.by)

    def _rank(self, work: WorkItem) -> tuple[bool, int, int, bool, int]:
        events = work.job.events_done.get(work.index, 0)
        due = round(work.due / DUE_RESOLUTION_S)
        return work.is_late, due, -events, not work.is_own, work.tie_break


def _takeover_s(tie_break: int) -> float:
    return TAKEOVER_DELAY_S * (1 + tie_break / 2**SALT_BITS)
