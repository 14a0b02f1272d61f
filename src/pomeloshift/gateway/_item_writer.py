"""Writes results, progress, failures and claims of items to the store."""

import attrs
from twisted.internet.defer import Deferred

from ..jobs import (
    ItemFailed,
    ItemKey,
    ItemProgress,
    ItemReleased,
    ItemResumed,
    ItemSettled,
    Progress,
    WorkItem,
    WorkQueue,
)
from ..net._periodic_tasks import spawn
from ._blob_store import BlobStore
from ._engine_access import EngineAccess
from ._events import EventLog
from ._job_log import JobLog
from ._log_writer import LogUnavailableError
from ._timing import (
    CLAIM_TIMEOUT_S,
    HAND_OFF_TIMEOUT_S,
    ITEM_RECORD_TIMEOUT_S,
    REPLAY_LAG_S,
)


@attrs.define
class ItemWriter:
    """Writes outputs, progress, failures and claims to the store.

    An item counts as running until all gateways have replayed what was written.
    """

    log: JobLog
    blobs: BlobStore
    queue: WorkQueue
    access: EngineAccess
    events: EventLog

    def write_result(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        """Records an item as completed with its output, or as a dead letter."""
        self.queue.running.add(work.key)
        self._hold_until_replayed(
            work.key, spawn(self._append_result(work, is_done, text))
        )

    def hand_off(self, key: ItemKey, progress: Progress) -> None:
        """Stores the progress of an item, so that another gateway can resume it."""
        self.queue.running.add(key)
        self._hold_until_replayed(key, spawn(self._append_progress(key, progress)))

    async def claim(self, work: WorkItem, event_id: int) -> int:
        """Records that this process resumes an item; returns the record's offset.

        Processes that still run the item stop it when they replay the record. Raises
        `LogUnavailableError` while the store is unavailable: entries that are cut off
        together cannot tell that from an outage for all. Raises the errors of
        `LogWriter.wait` too.
        """
        if not self.log.follower.is_reachable:
            raise LogUnavailableError("the store did not respond to the last read")
        record = ItemResumed(work.job.id, work.index, event_id, self.queue.name)
        return await self.log.append_within(record, CLAIM_TIMEOUT_S)

    def release(self, key: ItemKey) -> None:
        """Records that this process has ended a run that it claimed."""
        record = ItemReleased(*key, self.queue.name)
        spawn(self.log.append_within(record, CLAIM_TIMEOUT_S))

    def record_failure(self, key: ItemKey, engine: str) -> None:
        """Records the engine at which an item failed, before the item runs again."""
        self.queue.running.add(key)
        record = ItemFailed(*key, engine)
        self._hold_until_replayed(
            key, spawn(self.log.append_within(record, ITEM_RECORD_TIMEOUT_S))
        )

    def _hold_until_replayed(self, key: ItemKey, done: Deferred[None]) -> None:
        """Counts an item as running until others have replayed its record."""
        done.addBoth(
            lambda _: self.access.call_later(
                REPLAY_LAG_S, self.queue.running.discard, key
            )
        )

    async def _append_result(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        """Stores an item's output and then the record that refers to it."""
        ref = None
        if is_done:
            (ref,) = await self.blobs.put(work.job.id, [text], ITEM_RECORD_TIMEOUT_S)
        record = ItemSettled(work.job.id, work.index, is_done, ref)
        await self.log.append_within(record, ITEM_RECORD_TIMEOUT_S)
        self.events.info(
            "item_settled",
            id=work.job.items[work.index].id,
            job=work.job.id,
            is_done=is_done,
            late_s=self.access.now() - work.due if work.due else 0.0,
        )

    async def _append_progress(self, key: ItemKey, progress: Progress) -> None:
        (ref,) = await self.blobs.put(key[0], [progress.text], HAND_OFF_TIMEOUT_S)
        record = ItemProgress(
            *key,
            progress.event_id,
            ref,
            self.queue.name,
            progress.software.service,
            progress.software.version,
        )
        await self.log.append_within(record, HAND_OFF_TIMEOUT_S)
