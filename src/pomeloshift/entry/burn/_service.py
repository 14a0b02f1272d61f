"""SLO accounting at an entry."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from loguru import logger

from ...config import Configuration
from ...errors import ErrorCode, PomeloshiftError, Ran
from ...log import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogStore,
    Record,
    RecordCodec,
    RecordError,
)
from ...model import Instance
from ...net import Clock
from ...net._periodic_tasks import PeriodicTasks, spawn
from ...report import (
    BURN_STREAM,
    BurnHistory,
    BurnRecorder,
    BurnReport,
    BurnRollup,
    BurnSummary,
    RequestSample,
    compute_report,
)
from ..config._entry_choice import choose_entry
from ._peers import BurnPeers
from ._timing import BurnTiming

PAGE_RECORDS = 500
ROLLUP_CHECK_S = 300.0
APPEND_TRIES = 3


class NoReportError(PomeloshiftError):
    """There is no report yet because no configuration has been published."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class BurnService:
    """Counts requests, stores summaries in the log and merges those of all entries.

        service.record(sample)             # for each finished request
        report = await service.report()

    ``current`` returns the configuration in force and ``entries`` the live entries.
    ``peers`` queries the other entries for their counts that are not yet stored; if it
    is `None`, reports leave out these counts.
    """

    def __init__(
        self,
        name: str,
        log: LogStore,
        clock: Clock,
        reactor: Any,
        rng: Random,
        entries: Callable[[], Sequence[Instance]],
        current: Callable[[], Configuration | None],
        peers: BurnPeers | None = None,
        timing: BurnTiming | None = None,
    ) -> None:
        self._name = name
        self._log = log
        self._clock = clock
        self._reactor = reactor
        self._rng = rng
        self._entries = entries
        self._current = current
        self._peers = peers
        self._timing = timing or BurnTiming()
        self._recorder = BurnRecorder(name)
        self._unsent: list[tuple[str, BurnSummary]] = []
        self._history = BurnHistory()
        self._codec = RecordCodec([BurnSummary, BurnRollup])
        self._next_offset = 0
        self._periodic_tasks = PeriodicTasks(reactor)
        self._summary_call: Any = None
        self._is_running = False

    def record(self, sample: RequestSample) -> None:
        """Counts one finished request; ignored without a configuration."""
        cfg = self._current()
        if cfg is not None:
            self._recorder.record(sample, cfg, self._clock.wall())

    def pending(self) -> BurnSummary:
        """Returns the counts of this entry that are not known to be in the log."""
        return self._recorder.pending()

    async def report(self) -> BurnReport:
        """Returns the report over all entries; raises `NoReportError`."""
        cfg = self._current()
        if cfg is None:
            raise NoReportError("no configuration has been published yet")
        try:
            await self.read()
        except PomeloshiftError as exc:
            logger.warning("event=burn_read_failed code={}", exc.code.value)
        summaries = [self.pending()]
        answered = [self._name]
        unreachable: list[str] = []
        if self._peers is not None:
            peer_summaries = await self._peers.ask()
            summaries += peer_summaries.summaries
            answered += peer_summaries.answered
            unreachable += peer_summaries.unreachable
        return compute_report(
            cfg,
            self._history,
            summaries,
            self._clock.wall(),
            entries=sorted(answered),
            unreachable=sorted(unreachable),
        )

    def start(self) -> None:
        """Starts storing and reading summaries periodically."""
        self._is_running = True
        self._periodic_tasks.repeat(self.read, self._timing.read_s)
        self._periodic_tasks.repeat(self._roll_up, ROLLUP_CHECK_S)
        self._schedule_summary()

    async def stop(self) -> None:
        """Stops the periodic tasks and stores the remaining counts."""
        self._is_running = False
        self._periodic_tasks.stop()
        if self._summary_call is not None and self._summary_call.active():
            self._summary_call.cancel()
        try:
            await self.flush()
        except PomeloshiftError as exc:
            logger.warning("event=burn_summary_lost code={}", exc.code.value)

    async def flush(self) -> None:
        """Stores all counts with one append; raises log errors.

        A summary keeps its record id until its commit is confirmed, so that it is
        counted once even if an append with an unknown outcome is repeated.
        """
        summary = self._recorder.summarize()
        if summary is not None:
            self._unsent.append((self._new_id(), summary))
        unsent = list(self._unsent)
        if not unsent:
            return
        await self._append([Record(id_, body) for id_, body in unsent])
        for id_, body in unsent:
            self._unsent.remove((id_, body))
            self._recorder.confirm(body)
            self._history.apply(Record(id_, body), self._clock.wall())

    async def read(self) -> None:
        """Reads the stream to its end; raises log errors."""
        while await self._read_page():
            pass

    async def _read_page(self) -> bool:
        offset = self._next_offset
        try:
            page = await self._log.read(BURN_STREAM, offset, PAGE_RECORDS)
        except LogExpiredError as exc:
            self._next_offset = max(offset, exc.first_offset)
            return exc.first_offset > offset
        for stored in page.records:
            self._next_offset = max(self._next_offset, stored.offset + 1)
            self._apply(stored.data)
        return bool(page.records) and self._next_offset < page.next_offset

    def _apply(self, data: bytes) -> None:
        try:
            record = self._codec.decode(data)
        except RecordError as exc:
            logger.warning("event=burn_record_unreadable cause={!r}", exc.message)
            return
        self._history.apply(record, self._clock.wall())

    async def _append(self, records: list[Record]) -> None:
        payloads = [self._codec.encode(record) for record in records]
        for _ in range(APPEND_TRIES - 1):
            try:
                await self._log.append(BURN_STREAM, payloads)
                return
            except AppendOutcomeUnknownError:
                continue
        await self._log.append(BURN_STREAM, payloads)

    async def _roll_up(self) -> None:
        names = [entry.name for entry in self._entries()]
        if choose_entry("burn-rollup", names) not in (None, self._name):
            return
        await self.read()
        now = self._clock.wall()
        due = self._history.due_rollups(now, self._timing.rollup_s)
        if due:
            await self._append([Record(self._new_id(), rollup) for rollup in due])
            logger.info("event=burn_rolled_up hours={}", len(due))
            await self.read()

    def _schedule_summary(self) -> None:
        if self._is_running:
            interval = self._timing.interval(len(self._entries()))
            delay = interval * (0.75 + 0.5 * self._rng.random())
            self._summary_call = self._reactor.callLater(delay, self._summarize)

    def _summarize(self) -> None:
        spawn(self._flush_and_schedule())

    async def _flush_and_schedule(self) -> None:
        try:
            await self.flush()
        finally:
            self._schedule_summary()

    def _new_id(self) -> str:
        return f"{self._name}-{self._rng.getrandbits(64):016x}"
