"""Runs one batch item at an engine."""

from collections.abc import Awaitable, Callable
from enum import Enum
from itertools import count, takewhile
from typing import Any

import attrs

from ..dispatch import (
    EVENT_STREAM,
    CrashKeys,
    Engine,
    EventSplitter,
    OversizedEventError,
    StreamEvent,
    WatchedRun,
)
from ..http1 import CallTimeoutError, ConnectError, Disconnected, ResponseEnd
from ..jobs import Progress, WorkItem
from ..platform import is_stamped, item_request, proves_not_run
from ._blob_store import BlobLostError, BlobStore
from ._crash_log import CrashLog
from ._engine_access import MISDIRECTED, EngineAccess, EngineRun
from ._timing import BATCH_STALL_S, CLAIM_TIMEOUT_S, MAX_OUTPUT_BYTES


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
    ``is_claiming`` is set until its own is durable. ``is_claimed`` is set if this run
    claimed the item. ``progress`` grows with each event; a later run resumes after it.
    ``resumed_after`` is the event after which this run resumes, 0 for a whole run.
    ``status`` is the engine's HTTP status, and ``why`` says why a run broke off.
    ``crashes`` records the crashes of engines under ``keys``; ``is_trial`` is set if
    the item tries a quarantined part of its prompt. A pause of ``stall_s`` seconds ends
    the run. ``workspace`` is the name that the engine is told, as for `item_request`.
    Nothing is sent while ``may_start`` returns false.
    """

    access: EngineAccess
    blobs: BlobStore
    work: WorkItem
    engine: Engine
    progress: Progress | None
    claim: Callable[[WorkItem, int], Awaitable[int]]
    crashes: CrashLog
    keys: CrashKeys
    is_trial: bool = False
    stall_s: float = BATCH_STALL_S
    claim_offset: int = -1
    is_claiming: bool = False
    is_claimed: bool = False
    resumed_after: int = 0
    status: int = 0
    why: str = ""
    workspace: str | None = None
    may_start: Callable[[], bool] = lambda: True
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)
    _progressed_at: float = 0.0
    _watched: WatchedRun = attrs.field(init=False)

    @_watched.default
    def _watch(self) -> WatchedRun:
        item = self.work.job.items[self.work.index]
        return self.crashes.watch(self.keys, self.engine, item.id, self.is_trial)

    async def run(self) -> RunEnd:
        """Runs the item and returns how the run ended.

        Raises an error of the store if the item's body cannot be read, or if a resumed
        run cannot be claimed.
        """
        try:
            return await self._send()
        finally:
            self.crashes.unwatch(self._watched)

    async def _send(self) -> RunEnd:
        item = self.work.job.items[self.work.index]
        await self._load_progress()
        self.resumed_after = self.progress.event_id if self.progress else 0
        body = await self.blobs.get(item.body)
        if self.progress is not None:
            claimed_at = self.access.now()
            await self._claim(self.progress.event_id)
            if self.access.now() - claimed_at > CLAIM_TIMEOUT_S:
                # The process was frozen: another one may have resumed the item since.
                return RunEnd.NOT_RUN
            if not await self.access.is_current(self.engine):
                return RunEnd.NOT_RUN
        elif self.engine.may_have_restarted:
            if not await self.access.identify(self.engine):
                return RunEnd.NOT_RUN
        if not self.engine.is_serving or not self.may_start():
            # It began to leave, or the process was frozen, while the body was read or
            # the claim was written.
            return RunEnd.NOT_RUN
        head = item_request(
            self.work.job.host,
            item.path,
            item.id,
            item.headers,
            self.engine.record.id,
            self.resumed_after or None,
            self.workspace,
        )
        try:
            run = await self.access.send(self.engine, head, body, True)
        except ConnectError as exc:
            self.access.note_failed(self.engine, exc.message, item.id)
            return RunEnd.NOT_RUN
        try:
            return await self._receive(run)
        except CallTimeoutError:
            self.crashes.note_run_given_up(self._watched, is_silent=True)
            return self._broken("silent")
        except OversizedEventError as exc:
            return self._broken(exc.message)
        finally:
            run.close()

    async def _claim(self, event_id: int) -> None:
        self.is_claiming = True
        try:
            self.claim_offset = await self.claim(self.work, event_id)
            self.is_claimed = True
        finally:
            self.is_claiming = False

    def _note_progress_lost(self, why: str) -> None:
        item = self.work.job.items[self.work.index]
        self.access.events.warn("progress_lost", id=item.id, why=why)

    async def _load_progress(self) -> None:
        """Loads the progress that another gateway stored, if it is further.

        What engines of another version have made cannot be resumed here.
        """
        software = self.engine.record.software
        stored = self.work.job.progress.get(self.work.index)
        others = {one.software for one in (self.progress, stored) if one} - {software}
        if self.progress is not None and self.progress.software != software:
            self.progress = None
        if stored is not None and stored.software != software:
            stored = None
        if others and self.progress is None and stored is None:
            versions = ",".join(sorted(other.version for other in others))
            self._note_progress_lost(f"made at version {versions}")
        known = self.progress.event_id if self.progress else 0
        if stored is None or stored.event_id <= known:
            return
        try:
            text = await self.blobs.get(stored.text)
        except BlobLostError as exc:
            # The output up to here only saves work; the item runs without it.
            self._note_progress_lost(exc.message)
            return
        self.progress = Progress(stored.event_id, text, stored.software)

    async def _receive(self, run: EngineRun) -> RunEnd:
        event: Any = await run.next(self.stall_s)
        if isinstance(event, Disconnected):
            return self._disconnected(event)
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
        if self.resumed_after and event.media_type not in ("", EVENT_STREAM):
            # Its end would look like that of the whole stream.
            return self._broken(f"a resumed stream of type {event.media_type}")
        self._progressed_at = self.access.now()
        is_framed = event.is_framed
        while True:
            event = await run.next(self._stall_time_s())
            if isinstance(event, Disconnected):
                return self._disconnected(event)
            if isinstance(event, ResponseEnd):
                if not self._is_whole(is_framed):
                    end = Disconnected(BROKEN_OFF, by_server=not is_framed)
                    return self._disconnected(end)
                if self._has_events:
                    item = self.work.job.items[self.work.index]
                    self.crashes.note_answered(self.keys, item.id)
                return RunEnd.COMPLETE
            if not self._apply_data(event.data):
                return self._broken("events out of order, malformed or not text")
            if self.progress and len(self.progress.text) > MAX_OUTPUT_BYTES:
                # Whatever runs the item next starts it again.
                self.progress = None
                return self._broken(f"the output exceeds {MAX_OUTPUT_BYTES} bytes")

    def _is_whole(self, is_framed: bool) -> bool:
        """Whether the engine has not broken off the stream that has ended.

        A stream that its connection ends is broken off without an event in this run.
        """
        if self._splitter.rest or self.progress is None:
            return False
        return is_framed or self._has_events

    @property
    def _has_events(self) -> bool:
        """Whether the engine has sent an event in this run."""
        known = self.progress.event_id if self.progress else 0
        return known > self.resumed_after

    def _stall_time_s(self) -> float:
        """Returns how long to wait for bytes until the run counts as stalled."""
        return self._progressed_at + self.stall_s - self.access.now()

    def _apply_data(self, data: bytes) -> bool:
        """Adds the events that ``data`` completes; returns whether all can be used."""
        events = self._splitter.feed(data)
        first_id = self.progress.event_id + 1 if self.progress else FIRST_EVENT_ID
        in_order = [
            event
            for event, _ in takewhile(
                lambda pair: _is_usable(*pair),
                zip(events, count(first_id), strict=False),
            )
        ]
        if in_order:
            self._progressed_at = self.access.now()
            self._watched.note_event(self._progressed_at)
            texts = [self.progress.text] if self.progress else []
            texts += [event.data for event in in_order]
            self.progress = Progress(
                first_id + len(in_order) - 1,
                b"\n".join(texts),
                self.engine.record.software,
            )
        return len(in_order) == len(events)

    def _disconnected(self, event: Disconnected) -> RunEnd:
        if event.by_server:
            self.crashes.note_run_crashed(self._watched)
        return self._broken(event.reason)

    def _broken(self, why: str) -> RunEnd:
        self.why = why
        item = self.work.job.items[self.work.index]
        self.access.note_failed(self.engine, why, item.id)
        return RunEnd.BROKEN


FIRST_EVENT_ID = 1
BROKEN_OFF = "ended in the middle of an event"


def _is_usable(event: StreamEvent, next_id: int) -> bool:
    is_next = event.id == next_id and not event.is_malformed
    return is_next and _is_text(event.data)


def _is_text(data: bytes) -> bool:
    """Whether data can be part of a result, which is JSON."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
