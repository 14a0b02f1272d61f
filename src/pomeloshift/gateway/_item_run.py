"""Runs one batch item at an engine."""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import attrs

from ..dispatch import Engine, EventSplitter
from ..http1 import CallTimeoutError, ConnectError, Disconnected, ResponseEnd
from ..jobs import Progress, WorkItem
from ..platform import is_stamped, item_request, proves_not_run
from ._blob_store import BlobStore
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

    ``claim`` records that this gateway resumes an item after an event and returns the
    record's offset; ``claim_offset`` is that of the last claim known to this run, and
    ``is_claiming`` is set until its own is durable.
    ``progress`` grows with each event; a later run resumes after it. ``status`` is the
    engine's HTTP status, and ``why`` says why a run broke off.
    """

    access: EngineAccess
    blobs: BlobStore
    work: WorkItem
    engine: Engine
    progress: Progress | None
    claim: Callable[[WorkItem, int], Awaitable[int]]
    claim_offset: int = -1
    is_claiming: bool = False
    status: int = 0
    why: str = ""
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)

    async def run(self) -> RunEnd:
        """Runs the item and returns how the run ended.

        Raises an error of the store if the item's body cannot be read, or if a resumed
        run cannot be claimed.
        """
        item = self.work.job.items[self.work.index]
        await self._load_progress()
        body = await self.blobs.get(item.body)
        if self.progress is not None:
            await self._claim(self.progress.event_id)
        head = item_request(
            self.work.job.host,
            item.path,
            item.id,
            item.headers,
            self.engine.record.id,
            self.progress.event_id if self.progress else None,
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

    async def _claim(self, event_id: int) -> None:
        self.is_claiming = True
        try:
            self.claim_offset = await self.claim(self.work, event_id)
        finally:
            self.is_claiming = False

    async def _load_progress(self) -> None:
        """Loads the progress that another gateway stored, if it is further."""
        stored = self.work.job.progress.get(self.work.index)
        known = self.progress.event_id if self.progress else 0
        if stored is not None and stored.event_id > known:
            text = await self.blobs.get(stored.text)
            self.progress = Progress(stored.event_id, text)

    async def _receive(self, run: EngineRun) -> RunEnd:
        event: Any = await run.next(BATCH_STALL_S)
        if isinstance(event, Disconnected):
            return self._broken(event.reason)
        self.status = event.status
        if proves_not_run(event):
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
