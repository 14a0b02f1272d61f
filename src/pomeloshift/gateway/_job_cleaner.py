"""Expires overdue items and removes old jobs."""

from typing import Any

import attrs

from ..dispatch import Route
from ..errors import PomeloshiftError
from ..jobs import (
    ItemKey,
    ItemRoutes,
    Job,
    Ownership,
    UnroutedItems,
    WorkItem,
    claim_of,
)
from ._blob_store import BlobStore
from ._events import EventLog
from ._item_writer import ItemWriter
from ._job_log import JobLog
from ._refused_records import RefusedRecords

# Time from the end of the period in which callers may read a job's status until the
# job is removed, since the clocks of callers and gateways differ.
REMOVAL_MARGIN_S = 30.0
# Age at which a refused record is removed here: its submitter, which removes it before
# it responds, was killed or has given up by then.
REFUSED_S = 4.0
# Time after which a removal is tried again if its keys are still there.
REMOVAL_RETRY_S = 30.0


@attrs.define
class JobCleaner:
    """Expires items of the jobs that this gateway owns, and removes old jobs.

    Callers may read a job's status for ``job_status_s`` seconds after its submission.
    Records that exceeded the cap are removed before those of the jobs that left no room
    for them: a gateway that starts later must not find room for them.
    """

    log: JobLog
    blobs: BlobStore
    item_writer: ItemWriter
    routes: ItemRoutes
    ownership: Ownership
    events: EventLog
    job_status_s: float
    _unrouted: UnroutedItems = attrs.field(factory=UnroutedItems, init=False)
    _removing: dict[str, float] = attrs.field(factory=dict, init=False)

    def tick(self, now: float) -> None:
        """Expires items and removes jobs that are due; ``now`` is monotonic seconds."""
        unrouted = []
        self._removing = {k: at for k, at in self._removing.items() if at > now}
        self._remove_refused(now)
        for job in list(self.log.table.jobs.values()):
            if not self.ownership.owns(job.id):
                continue
            if job.is_open:
                self._expire_items(job, now)
                unrouted += self._unrouted_items(job)
            elif self._may_be_removed(job, now):
                self._remove_job(job, now)
        self._unrouted.update(unrouted, now)
        for job_id, index in self._unrouted.ended(self.routes.config.confirmed_at):
            self._give_up(self.log.table.jobs[job_id], index, "its route has ended")

    def _expire_items(self, job: Job, now: float) -> None:
        """Records pending items as dead letters after their routes' retention time."""
        age_s = now - job.accepted_at
        route = self.routes.of_job(job)
        if route is not None and not _is_expired(route, age_s):
            return
        for index in self._idle_items(job):
            route = self.routes.of(job, index)
            if route is not None and _is_expired(route, age_s):
                self._give_up(job, index, "its retention time is over")

    def _unrouted_items(self, job: Job) -> list[ItemKey]:
        """Returns the items without a route that no gateway runs or holds."""
        if self.routes.of_job(job) is not None:
            return []
        return [
            (job.id, index)
            for index in self._idle_items(job)
            if self.routes.of(job, index) is None
            and not self.item_writer.queue.is_claimed(claim_of(job.id, index))
        ]

    def _idle_items(self, job: Job) -> list[int]:
        """Returns the pending items that this gateway does not run."""
        running = self.item_writer.queue.running
        return [i for i in sorted(job.pending) if (job.id, i) not in running]

    def _give_up(self, job: Job, index: int, why: str) -> None:
        self.events.warn("item_given_up", id=job.items[index].id, job=job.id, why=why)
        self.item_writer.write_result(WorkItem(job, index, 0.0), False, b"")

    def _may_be_removed(self, job: Job, now: float) -> bool:
        if now - job.accepted_at < self.job_status_s + REMOVAL_MARGIN_S:
            return False
        return job.id not in self._removing and not self.log.table.blocks_removal(job)

    def _remove_job(self, job: Job, now: float) -> None:
        """Removes the records of a job whose status can no longer be read.

        The job leaves the table when the removal is replayed, as at all gateways.
        """
        self._removing[job.id] = now + REMOVAL_RETRY_S
        self.events.info("job_forgotten", id=job.id, age_s=now - job.accepted_at)
        self.log.remove(job.keys).addErrback(self._note_removal_failed)
        self.blobs.remove(job.blobs())

    def _remove_refused(self, now: float) -> None:
        """Removes refused records that their submitters have left."""
        records = RefusedRecords(self.log, self.blobs, self.events)
        for key, refusal in self.log.table.refused.items():
            if refusal.is_removed or key in self._removing:
                continue
            if now - refusal.seen_at < REFUSED_S:
                continue
            if self.ownership.owns(refusal.job_id):
                self._removing[key] = now + REMOVAL_RETRY_S
                self.events.info("job_refusal_left", id=refusal.job_id, key=key)
                records.remove(refusal).done.addErrback(records.note_failure)

    def _note_removal_failed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self.events.warn("removal_failed", why=failure.value.message)


def _is_expired(route: Route, age_s: float) -> bool:
    return 0 < route.item_retention_s <= age_s
