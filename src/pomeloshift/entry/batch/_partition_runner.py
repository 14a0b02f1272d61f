"""Runs one partition: reads its stream, appends to it and holds its state."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Any

import attrs
from loguru import logger
from twisted.internet.defer import Deferred, DeferredLock, gatherResults
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ...batch import (
    Carried,
    CopyForward,
    PartitionOwner,
    PartitionReplay,
    PartitionState,
    job_codec,
    partition_stream,
    snapshot_state,
)
from ...errors import PomeloshiftError
from ...log import (
    Checkpoint,
    CommitBufferFullError,
    CommitEffect,
    GroupCommitter,
    LogExpiredError,
    LogRateLimitedError,
    LogStore,
    LogUnavailableError,
    Record,
    RecordCommitted,
    RecordError,
    RecordRefused,
    StartAppend,
    StoredRecord,
    StreamFollower,
    checkpoint_records,
)
from ...net import Clock
from ...net._periodic_tasks import spawn
from ._errors import (
    AcceptanceUnknownError,
    NotAcceptedError,
    PartitionNotReadyError,
)
from ._record_cache import RecordCache
from ._settings import BatchSettings

READ_RECORDS = 1000
READ_RETRY_S = 0.2
MAX_READ_RETRY_S = 5.0


@attrs.frozen
class SubmitResult:
    """The outcome of `PartitionRunner.submit`.

    ``is_committed`` says whether all buffered records were committed in time.
    ``not_buffered`` holds the records that did not fit into the commit buffer.
    """

    is_committed: bool
    not_buffered: tuple[Record, ...] = ()


class PartitionRunner:
    """The I/O layer of a partition's owner, committer and follower.

    A record is applied to the state once it has been read from the stream. A record
    that this runner appended is applied at its acknowledgement if its offset directly
    follows that of the last record applied. Methods that wait for a record wait until
    it has been applied.
    """

    def __init__(
        self,
        partition: int,
        name: str,
        log: LogStore,
        reactor: Any,
        clock: Clock,
        rng: Random,
        settings: BatchSettings,
        cache: RecordCache,
    ) -> None:
        self.partition = partition
        self.stream = partition_stream(partition)
        self.used_at = clock.monotonic()
        self._name = name
        self._log = log
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._cache = cache
        self._codec = job_codec()
        self._committer = GroupCommitter(self.stream, settings.commit, rng)
        self._follower = StreamFollower(self.stream)
        self._owner: PartitionOwner | None = None
        self._waiters: dict[str, list[Deferred[None]]] = {}
        self._open_waiters: list[Deferred[None]] = []
        self._backlog: list[Record] = []
        self._timer: Any = None
        self._sync_lock = DeferredLock()
        self._refresh_waiters: list[Deferred[None]] = []
        self._is_read_failing = False
        self._is_stopped = False

    @property
    def is_open(self) -> bool:
        """Whether the stream was replayed, so that the partition can be served."""
        return self._owner is not None

    @property
    def owner(self) -> PartitionOwner:
        """The partition's owner; raises `PartitionNotReadyError` before `is_open`."""
        if self._owner is None:
            raise PartitionNotReadyError(
                f"partition {self.partition} is being replayed from the log",
                retry_after_s=self._settings.poll_s,
            )
        return self._owner

    @property
    def state(self) -> PartitionState:
        """The replayed state; raises `PartitionNotReadyError` before `is_open`."""
        return self.owner.state

    @property
    def is_idle(self) -> bool:
        """Whether no record waits to be appended and no item is leased."""
        is_leased = self._owner is not None and self._owner.leased > 0
        return not (is_leased or self._committer.waiting_records or self._backlog)

    @property
    def is_log_failing(self) -> bool:
        """Whether records wait after an append that was not acknowledged."""
        return self._committer.is_failing

    @property
    def has_free_buffer(self) -> bool:
        """Whether at least half of the commit buffer is free."""
        limits = self._settings.commit
        return not self._backlog and self._committer.has_capacity(
            limits.buffer_records // 2, limits.buffer_bytes // 2
        )

    @property
    def appends(self) -> int:
        """The number of appends started since this runner was created."""
        return self._committer.appends

    async def open(self) -> None:
        """Replays the stream to its end; retries with backoff while reads fail."""
        delay_s = READ_RETRY_S
        replay = PartitionReplay(self._codec)
        while not replay.is_done and not self._is_stopped:
            try:
                page = await self._log.read(
                    self.stream, replay.next_offset, READ_RECORDS
                )
                replay.apply_page(page)
                delay_s = READ_RETRY_S
            except LogExpiredError as exc:
                replay.restart(exc.first_offset)
            except PomeloshiftError:
                await deferLater(self._reactor, delay_s)
                delay_s = min(delay_s * 2, MAX_READ_RETRY_S)
        if not self._is_stopped:
            self._start_serving(replay)

    async def wait_open(self) -> None:
        """Returns once the stream has been replayed.

        Raises `PartitionNotReadyError` if that takes longer than ``open_s``.
        """
        if self.is_open:
            return
        opened: Deferred[None] = Deferred()
        self._open_waiters.append(opened)
        opened.addTimeout(self._settings.open_s, self._reactor)
        try:
            await opened
        except Exception as exc:
            raise PartitionNotReadyError(
                f"partition {self.partition} was not replayed from the log in time",
                retry_after_s=self._settings.poll_s,
            ) from exc

    def stop(self) -> None:
        """Stops at once; waiting commits fail with `AcceptanceUnknownError`."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        error = AcceptanceUnknownError("the entry is stopping")
        for record_id in list(self._waiters):
            self._finish_waiters(record_id, error)

    async def commit(
        self, records: Sequence[Record], timeout_s: float | None = None
    ) -> None:
        """Appends records and returns once all of them are committed and applied.

        Raises `CommitBufferFullError` if the records do not fit into the buffer, in
        which case none is appended. After ``timeout_s`` seconds, raises
        `NotAcceptedError` if a record was certainly not appended, and
        `AcceptanceUnknownError` if the outcome of its append is unknown.
        """
        payloads = {rec.record_id: self._codec.encode(rec) for rec in records}
        new = [
            p for ident, p in payloads.items() if not self._committer.is_pending(ident)
        ]
        if not self._committer.has_capacity(len(new), sum(map(len, new))):
            raise self._buffer_full_error()
        now = self._clock.monotonic()
        deadline = None if timeout_s is None else now + timeout_s
        waiters = []
        for record_id, payload in payloads.items():
            self._committer.offer(record_id, payload, now, deadline)
            waiters.append(self._wait_for(record_id))
        self._schedule()
        await gatherResults(waiters, consumeErrors=True).addErrback(_first_error)

    async def submit(self, records: Sequence[Record]) -> SubmitResult:
        """Adds records to the commit buffer and waits for their commit.

        The wait is at most ``commit_wait_s``; the buffered records are retried even
        after this method has returned. Records that do not fit into the buffer are
        returned in ``not_buffered``.
        """
        now = self._clock.monotonic()
        waiters: list[Deferred[None]] = []
        not_buffered: list[Record] = []
        for record in records:
            try:
                payload = self._codec.encode(record)
                self._committer.offer(record.record_id, payload, now)
            except CommitBufferFullError:
                not_buffered.append(record)
            else:
                waiters.append(self._wait_for(record.record_id))
        self._schedule()
        done = gatherResults(waiters, consumeErrors=True)
        waiting: Deferred[bool] = Deferred()
        done.addBoth(_report_success, waiting)
        waiting.addTimeout(
            self._settings.commit_wait_s, self._reactor, lambda *_: False
        )
        return SubmitResult(await waiting, tuple(not_buffered))

    def post(self, records: Iterable[Record]) -> None:
        """Queues records to be appended, without waiting for their commit."""
        self._backlog.extend(records)
        self._offer_backlog()
        self._schedule()

    async def record_at(self, offset: int) -> Record:
        """Returns the record at an offset; raises `LogUnavailableError`."""
        found = self._cache.get((self.stream, offset))
        if found is not None:
            return found
        page = await self._log.read(self.stream, offset, 1)
        if not page.records:
            raise LogUnavailableError(f"the log returned no record at offset {offset}")
        return self._cache_record(page.records[0])

    async def records_at(self, offsets: Sequence[int]) -> dict[int, Record]:
        """Returns records by offset; raises `LogUnavailableError` if one is missing."""
        found: dict[int, Record] = {}
        missing = []
        for offset in sorted(offsets):
            cached = self._cache.get((self.stream, offset))
            if cached is None:
                missing.append(offset)
            else:
                found[offset] = cached
        wanted = set(missing)
        for start in missing:
            if start in found:
                continue
            page = await self._log.read(self.stream, start, READ_RECORDS)
            for stored in page.records:
                if stored.offset in wanted:
                    found[stored.offset] = self._cache_record(stored)
            if start not in found:
                raise LogUnavailableError(
                    f"the log returned no record at offset {start}"
                )
        return found

    async def copy_forward(self, copies: Sequence[CopyForward]) -> None:
        """Appends copies of live records before the log expires the originals."""
        found = await self.records_at([copy.offset for copy in copies])
        wall = self._clock.wall()
        records = []
        for copy in copies:
            data = self._codec.encode(found[copy.offset])
            body = Carried(copy.owner_id, copy.number, copy.offset, wall, data)
            record_id = f"{copy.owner_id}/carry/{copy.offset}"
            records.append(Record(record_id, body))
        await self.commit(records, self._settings.accept_s)

    async def append_checkpoint(self, checkpoint_id: str) -> None:
        """Appends a checkpoint of the state, split into several records."""
        data = snapshot_state(self.state)
        checkpoint = Checkpoint(checkpoint_id, self.state.next_offset, data)
        for record in checkpoint_records(checkpoint):
            await self.commit([record], self._settings.accept_s)

    async def sync(self) -> None:
        """Reads and applies records that other entries have appended.

        Does nothing if a read is already in progress or the partition is not open.
        """
        if self._sync_lock.locked or not self.is_open:
            return
        await self._sync_lock.acquire()
        try:
            await self._read_to_end()
            self._note_read(None)
        except LogExpiredError:
            self._reopen()
        except PomeloshiftError as exc:
            self._note_read(exc)
        finally:
            self._sync_lock.release()

    async def refresh(self) -> None:
        """Returns once the state covers all records appended before this call.

        Another entry may have appended since the last read. If the log is
        unavailable or slower than ``refresh_s``, returns with the state known so far.
        """
        if self._is_read_failing or not self.is_open:
            return
        waiter: Deferred[None] = Deferred()
        self._refresh_waiters.append(waiter)
        if len(self._refresh_waiters) == 1:
            spawn(self._refresh_all())
        waiter.addTimeout(self._settings.refresh_s, self._reactor, lambda *_: None)
        await waiter

    async def _refresh_all(self) -> None:
        await self._sync_lock.acquire()
        self._sync_lock.release()
        refresh_waiters, self._refresh_waiters = self._refresh_waiters, []
        await self.sync()
        for waiter in refresh_waiters:
            if not waiter.called:
                waiter.callback(None)

    def tick(self) -> None:
        """Ends expired leases.

        Queues their records and those that did not fit into the buffer.
        """
        if self._owner is None:
            return
        now, wall = self._clock.monotonic(), self._clock.wall()
        self.post(self._owner.tick(now, wall))

    def _reopen(self) -> None:
        """Replays the stream again after unread records expired in the log."""
        logger.warning("event=stream_reopened stream={}", self.stream)
        self._owner = None
        error = AcceptanceUnknownError("the partition is being replayed again")
        for record_id in list(self._waiters):
            self._finish_waiters(record_id, error)
        spawn(self.open())

    def _start_serving(self, replay: PartitionReplay) -> None:
        if replay.has_lost_state or replay.unreadable:
            logger.error(
                "event=state_incomplete stream={} unreadable={} lost={}",
                self.stream,
                replay.unreadable,
                replay.has_lost_state,
            )
        self._follower = StreamFollower(self.stream, replay.state.next_offset)
        self._owner = PartitionOwner(
            self.partition, replay.state, self._settings.owner, self._name, self._rng
        )
        self._owner.adopt_claims(self._clock.monotonic())
        self._schedule()
        open_waiters, self._open_waiters = self._open_waiters, []
        for open_waiter in open_waiters:
            if not open_waiter.called:
                open_waiter.callback(None)

    def _note_read(self, error: PomeloshiftError | None) -> None:
        """Logs the first failed read, and the first that succeeds after failures."""
        if error is not None and not self._is_read_failing:
            logger.warning(
                "event=read_failing stream={} code={}", self.stream, error.code.value
            )
        elif error is None and self._is_read_failing:
            logger.info("event=read_recovered stream={}", self.stream)
        self._is_read_failing = error is not None

    async def _read_to_end(self) -> None:
        while not self._is_stopped:
            page = await self._log.read(
                self.stream, self._follower.next_offset, READ_RECORDS
            )
            if not self.is_open:
                return
            self._apply_all(self._follower.take_page(page))
            if not page.records or not self._follower.is_behind:
                return

    def _apply_all(self, stored: Sequence[StoredRecord]) -> None:
        """Applies records, then resumes the callers that wait for them."""
        applied = [self._apply(each) for each in stored]
        for record_id in applied:
            if record_id is not None:
                self._finish_waiters(record_id, None)

    def _apply(self, stored: StoredRecord) -> str | None:
        try:
            record = self._codec.decode(stored.data)
        except RecordError as exc:
            logger.error(
                "event=record_unreadable stream={} offset={} message={!r}",
                self.stream,
                stored.offset,
                exc.message,
            )
            self.state.advance(stored.offset)
            return None
        key = (self.stream, stored.offset)
        self._cache.put(key, self._unwrap(record), len(stored.data))
        self.owner.apply(stored.offset, record)
        self._committer.observed(record.record_id, stored.offset)
        return record.record_id

    def _cache_record(self, stored: StoredRecord) -> Record:
        record = self._unwrap(self._codec.decode(stored.data))
        self._cache.put((self.stream, stored.offset), record, len(stored.data))
        return record

    def _unwrap(self, record: Record) -> Record:
        if isinstance(record.body, Carried):
            return self._codec.decode(record.body.data)
        return record

    def _buffer_full_error(self) -> CommitBufferFullError:
        return CommitBufferFullError(
            "the commit buffer is full: too many records wait for the log",
            retry_after_s=self._settings.commit.retry_max_s,
        )

    def _wait_for(self, record_id: str) -> Deferred[None]:
        waiter: Deferred[None] = Deferred()
        self._waiters.setdefault(record_id, []).append(waiter)
        return waiter

    def _finish_waiters(self, record_id: str, error: PomeloshiftError | None) -> None:
        for waiter in self._waiters.pop(record_id, ()):
            if error is None:
                waiter.callback(None)
            else:
                waiter.errback(error)

    def _offer_backlog(self) -> None:
        now = self._clock.monotonic()
        while self._backlog:
            record = self._backlog[0]
            try:
                payload = self._codec.encode(record)
                self._committer.offer(record.record_id, payload, now)
            except CommitBufferFullError:
                return
            self._backlog.pop(0)

    def _start_due_append(self) -> None:
        if self._is_stopped or not self.is_open:
            return
        now = self._clock.monotonic()
        self._fail_waiters(self._committer.expire(now))
        due_append = self._committer.next_append(now)
        if due_append is not None:
            spawn(self._append(due_append))
        self._schedule()

    def _schedule(self) -> None:
        """Sets the timer for the committer's next action, at least 1 ms ahead."""
        if self._is_stopped or not self.is_open:
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        wake_at = self._committer.wake_at()
        if wake_at is not None:
            delay_s = max(0.001, wake_at - self._clock.monotonic())
            self._timer = self._reactor.callLater(delay_s, self._start_due_append)

    async def _append(self, due_append: StartAppend) -> None:
        try:
            first = await self._log.append(self.stream, due_append.payloads)
        except (LogUnavailableError, LogRateLimitedError):
            self._committer.refused(due_append.append_id, self._clock.monotonic())
        except PomeloshiftError:
            self._committer.ambiguous(due_append.append_id, self._clock.monotonic())
            spawn(self.sync())
        else:
            await self._appended(due_append, first)
        self._offer_backlog()
        self._schedule()

    async def _appended(self, due_append: StartAppend, first: int) -> None:
        now = self._clock.monotonic()
        self._committer.appended(due_append.append_id, first, now)
        if not self.is_open:
            return
        self._apply_all(self._follower.take_own(first, due_append.payloads))
        if self._follower.is_behind:
            await self.sync()

    def _fail_waiters(self, effects: Iterable[CommitEffect]) -> None:
        for effect in effects:
            if isinstance(effect, RecordCommitted):
                continue
            error_type = (
                NotAcceptedError
                if isinstance(effect, RecordRefused)
                else AcceptanceUnknownError
            )
            error = error_type(
                effect.error.message, retry_after_s=effect.error.retry_after_s
            )
            self._finish_waiters(effect.record_id, error)


def _report_success(result: Any, waiting: Deferred[bool]) -> None:
    if not waiting.called:
        waiting.callback(not isinstance(result, Failure))


def _first_error(failure: Any) -> Any:
    sub_failure = getattr(failure.value, "subFailure", None)
    return sub_failure if sub_failure is not None else failure
