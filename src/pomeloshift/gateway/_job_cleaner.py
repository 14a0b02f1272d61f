"""Expires overdue items and removes old jobs."""

from typing import Any

import attrs

from ..dispatch import Route
from ..errors import PomeloshiftError
from ..jobs import Job, Ownership, WorkItem
from ._blob_store import BlobStore
from ._events import EventLog
from ._item_writer import ItemWriter
from ._job_log import JobLog

# Time from the end of the period in which callers may read a job's status until the
# job is removed, since the clocks of callers and gateways differ.
REMOVAL_MARGIN_S = 30.0


@attrs.define
class JobCleaner:
    """Expires items of the jobs that this gateway owns, and removes old jobs.

    Callers may read a job's status for ``job_status_s`` seconds after its submission.
    """

    log: JobLog
    blobs: BlobStore
    item_writer: ItemWriter
    ownership: Ownership
    events: EventLog
    job_status_s: float

    def tick(self, routes: dict[str, Route], now: float) -> None:
        """Expires items and removes jobs that are due.

        ``routes`` holds the route of each queue, ``now`` is monotonic seconds.
        """
        for job in list(self.log.table.jobs.values()):
            if not self.ownership.owns(job.id):
                continue
            if job.is_open:
                self._expire_items(job, routes.get(job.queue), now)
            elif now - job.accepted_at >= self.job_status_s + REMOVAL_MARGIN_S:
                self._remove_job(job, now)

    def _expire_items(self, job: Job, route: Route | None, now: float) -> None:
        """Records pending items as dead letters after the route's retention time."""
        retention_s = route.item_retention_s if route else 0.0
        if retention_s <= 0 or now - job.accepted_at < retention_s:
            return
        for index in sorted(job.pending):
            if (job.id, index) not in self.item_writer.queue.running:
                self.events.warn("item_given_up", id=job.items[index].id, job=job.id)
                self.item_writer.write_result(WorkItem(job, index, 0.0), False, b"")

    def _remove_job(self, job: Job, now: float) -> None:
        """Removes the records of a job whose status can no longer be read."""
        del self.log.table.jobs[job.id]
        self.events.info("job_forgotten", id=job.id, age_s=now - job.accepted_at)
        self.log.remove(job.keys).addErrback(self._note_removal_failed)
        removals = self.blobs.remove_keys(job.blobs())
        self.blobs.writer.append(removals).done.addErrback(self._note_removal_failed)

    def _note_removal_failed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self.events.warn("removal_failed", why=failure.value.message)
