"""Runs one batch item at an engine."""

from enum import Enum
from typing import Any

import attrs

from ..dispatch import Engine, EventSplitter
from ..http1 import CallTimeoutError, ConnectError, Disconnected, ResponseEnd
from ..jobs import Progress, WorkItem
from ..platform import is_stamped, item_request, proves_not_run
from ._blob_store import BlobLostError, BlobStore
from ._engine_access import EngineAccess, EngineRun
from ._timing import BATCH_STALL_S


class RunEnd(Enum):
    """How a run of an item ended."""

    COMPLETE = "whole"
    NOT_RUN = "not_run"
    ANSWERED = "answered"
    BROKEN = "broken"


@attrs.define(eq=False)
class ItemRun:
    """One run of an item, which resumes after the item's progress.

    ``progress`` grows with each event; a later run resumes after it. ``resumed_after``
    is the event after which this run resumes, 0 for a whole run. ``status`` is the
    engine's HTTP status, and ``why`` says why a run broke off.
    """

    access: EngineAccess
    blobs: BlobStore
    work: WorkItem
    engine: Engine
    progress: Progress | None
    resumed_after: int = 0
    status: int = 0
    why: str = ""
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)

    async def run(self) -> RunEnd:
        """Runs the item and returns how the run ended.

        Raises an error of the store if the item's body cannot be read.
        """
        item = self.work.job.items[self.work.index]
        await self._load_progress()
        self.resumed_after = self.progress.event_id if self.progress else 0
        body = await self.blobs.get(item.body)
        head = item_request(
            self.work.job.host,
            item.path,
            item.id,
            item.headers,
            self.engine.record.id,
            self.resumed_after or None,
        )
        try:
            run = await self.access.send(self.engine, head, body, True)
        except ConnectError as exc:
            self.access.note_failed(self.engine, exc.message, item.id)
            return RunEnd.NOT_RUN
        try:
            return await self._receive(run)
        except CallTimeoutError:
            self.access.note_failed(self.engine, "silent", item.id)
            self.why = "silent"
            return RunEnd.BROKEN
        finally:
            run.close()

    async def _load_progress(self) -> None:
        """Loads the progress that another gateway stored, if it is further."""
        stored = self.work.job.progress.get(self.work.index)
        known = self.progress.event_id if self.progress else 0
        if stored is None or stored.event_id <= known:
            return
        try:
            text = await self.blobs.get(stored.text)
        except BlobLostError as exc:
            # The item is still owed: it runs from the progress known here.
            item = self.work.job.items[self.work.index]
            self.access.events.warn("progress_lost", id=item.id, why=exc.message)
            return
        self.progress = Progress(stored.event_id, text)

    async def _receive(self, run: EngineRun) -> RunEnd:
        event: Any = await run.next(BATCH_STALL_S)
        if isinstance(event, Disconnected):
            return self._broken(event.reason)
        self.status = event.status
        if proves_not_run(event):
            if event.status == MISDIRECTED:
                self.access.note_replaced(self.engine)
            else:
                self.access.note_full(self.engine)
            return RunEnd.NOT_RUN
        if not is_stamped(event):
            return self._broken(f"unusable response, status {event.status}")
        if event.status != 200:
            return RunEnd.ANSWERED
        while True:
            event = await run.next(BATCH_STALL_S)
            if isinstance(event, Disconnected):
                return self._broken(event.reason)
            if isinstance(event, ResponseEnd):
                if self._splitter.rest or self.progress is None:
                    return self._broken("ended in the middle of an event")
                return RunEnd.COMPLETE
            if not self._apply_data(event.data):
                return self._broken("events out of order")

    def _apply_data(self, data: bytes) -> bool:
        for event in self._splitter.feed(data):
            if event.id is None:
                return False
            if self.progress is None:
                # Without progress the item starts at its first event.
                if event.id != FIRST_EVENT_ID:
                    return False
                self.progress = Progress(event.id, event.data)
            elif event.id != self.progress.event_id + 1:
                return False
            else:
                text = self.progress.text + b"\n" + event.data
                self.progress = Progress(event.id, text)
        return True

    def _broken(self, why: str) -> RunEnd:
        self.why = why
        item = self.work.job.items[self.work.index]
        self.access.note_failed(self.engine, why, item.id)
        return RunEnd.BROKEN


FIRST_EVENT_ID = 1
MISDIRECTED = 421
