"""Keeps what becomes of items in the store."""

import attrs
from twisted.internet.defer import Deferred

from ..jobs import ItemKey, ItemProgress, ItemSettled, Progress, WorkItem, WorkQueue
from ..net._periodic_tasks import spawn
from ._blob_store import BlobStore
from ._engine_access import EngineAccess
from ._events import EventLog
from ._job_log import JobLog
from ._timing import FOLD_LAG_S, HAND_OVER_WAIT_S, KEEP_WAIT_S


@attrs.define
class ItemKeeper:
    """Writes outputs and progress; an item counts as running until they are kept."""

    log: JobLog
    blobs: BlobStore
    queue: WorkQueue
    access: EngineAccess
    events: EventLog

    def settle(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        """Lists an item as done, with its output, or as one that cannot be done."""
        self.queue.running.add(work.key)
        self._claim_until(work.key, spawn(self._keep_result(work, is_done, text)))

    def hand_over(self, key: ItemKey, progress: Progress) -> None:
        """Keeps the progress of an item, from which another entry may go on."""
        self.queue.running.add(key)
        self._claim_until(key, spawn(self._keep_progress(key, progress)))

    def _claim_until(self, key: ItemKey, done: Deferred[None]) -> None:
        """Lets others have an item once they have read what the log says of it."""
        done.addBoth(
            lambda _: self.access.call_later(
                FOLD_LAG_S, self.queue.running.discard, key
            )
        )

    async def _keep_result(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        """Keeps an item's output, and then the record that lists it."""
        ref = None
        if is_done:
            (ref,) = await self.blobs.put(work.job.id, [text], KEEP_WAIT_S)
        record = ItemSettled(work.job.id, work.index, is_done, ref)
        await self.log.append_within(record, KEEP_WAIT_S)
        self.events.info(
            "item_settled",
            id=work.job.items[work.index].id,
            job=work.job.id,
            is_done=is_done,
            late_s=self.access.now() - work.due if work.due else 0.0,
        )

    async def _keep_progress(self, key: ItemKey, progress: Progress) -> None:
        (ref,) = await self.blobs.put(key[0], [progress.text], HAND_OVER_WAIT_S)
        record = ItemProgress(key[0], key[1], progress.event_id, ref)
        await self.log.append_within(record, HAND_OVER_WAIT_S)
