"""The job log: reads it into a `JobBook` and appends to it."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..jobs import JobBook, JobRecord, encode_record, split
from ..net._loops import spawn
from ..platform import (
    KeyedRecord,
    MalformedError,
    SequenceError,
    StoreClient,
    StoreFullError,
    StoreSettings,
    StoreSilentError,
)
from ._events import EventLog
from ._sleep import sleep
from ._timing import JOB_READ_GAP_S, STORE_RETRY_MAX_S, STORE_RETRY_S
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.jobs"
PARTITION = 0


class LogTimeoutError(PomeloshiftError):
    """A record's append was not confirmed in time; it may still take effect."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class LogAwayError(PomeloshiftError):
    """A record was taken back before it was sent to the store."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


@attrs.define(eq=False)
class Append:
    """A record on its way into the log; ``done`` fires once it is kept."""

    records: list[tuple[str, bytes | None]]
    size: int
    done: Deferred[None] = attrs.field(factory=Deferred)
    was_sent: bool = False


class JobLog:
    """One partition of the job log.

    Appends that come while another is under way are sent together. Each call carries
    this process's producer name and a number, so that a call whose answer was lost is
    sent again without a second effect.
    """

    def __init__(
        self,
        store: StoreClient,
        settings: StoreSettings,
        producer: str,
        reactor: Any,
        clock: Any,
        events: EventLog,
    ) -> None:
        self.book = JobBook()
        self.confirmed_at = float("-inf")
        self.on_change: Callable[[str], None] = lambda job_id: None
        self.on_reset: Callable[[], None] = lambda: None
        self._store = store
        self._settings = settings
        self._producer = producer
        self._reactor = reactor
        self._clock = clock
        self._events = events
        self._sequence = 0
        self._next_key = 0
        self._queue: deque[Append] = deque()
        self._is_writing = False
        self._stopped = False
        handlers = TopicHandlers(
            self._take_snapshot, self._take_record, self._confirm, self._note_reachable
        )
        self.follower = TopicFollower(
            TOPIC, PARTITION, store, reactor, clock, events, handlers, JOB_READ_GAP_S
        )
        self.is_reachable = True

    def start(self) -> None:
        """Begins to read the log."""
        self.follower.start()

    def stop(self) -> None:
        """Stops to read and to write."""
        self._stopped = True
        self.follower.stop()

    @property
    def has_unwritten(self) -> bool:
        """Whether appends are still under way."""
        return bool(self._queue) or self._is_writing

    def age(self) -> float:
        """Returns the seconds since the whole log was known to be folded."""
        return float(self._clock.monotonic()) - self.confirmed_at

    def append(self, record: JobRecord) -> Append:
        """Queues a record; see `Append.done`."""
        self._next_key += 1
        key = f"{record.job_id[:100]}/{self._producer}/{self._next_key}"
        data = encode_record(record)
        return self._enqueue(split(key, data, self._settings.record_bytes), len(data))

    def remove(self, keys: list[str]) -> None:
        """Removes the records of a job that is no longer needed."""
        self._enqueue([(key, None) for key in keys], 0).done.addErrback(
            lambda failure: self._events.warn(
                "removal_failed", why=failure.getErrorMessage()
            )
        )

    async def append_within(self, record: JobRecord, timeout_s: float) -> None:
        """Appends a record and waits until it is kept.

        Raises `LogAwayError` if it was not sent and never will be, and
        `LogTimeoutError` if it may still take effect.
        """
        append = self.append(record)
        timer = self._reactor.callLater(timeout_s, self._expire, append)
        try:
            await append.done
        finally:
            if timer.active():
                timer.cancel()

    def _expire(self, append: Append) -> None:
        if append in self._queue and not append.was_sent:
            self._queue.remove(append)
            append.done.errback(LogAwayError("the job log cannot be written"))
        elif not append.done.called:
            append.done.errback(LogTimeoutError("the job log does not answer"))

    def _enqueue(
        self, records: list[tuple[str, bytes]] | list[tuple[str, None]], size: int
    ) -> Append:
        append = Append(list(records), size)
        self._queue.append(append)
        if not self._is_writing:
            self._is_writing = True
            spawn(self._write_all())
        return append

    async def _write_all(self) -> None:
        try:
            while self._queue and not self._stopped:
                await self._write(self._next_group())
        finally:
            self._is_writing = False

    def _next_group(self) -> list[Append]:
        """Takes the appends that fit into one call."""
        group = [self._queue.popleft()]
        size = group[0].size
        limit = self._settings.call_bytes // 2
        while self._queue and size + self._queue[0].size <= limit:
            size += self._queue[0].size
            group.append(self._queue.popleft())
        return group

    async def _write(self, group: list[Append]) -> None:
        records = [record for append in group for record in append.records]
        delay_s = STORE_RETRY_S
        while not self._stopped:
            try:
                await self._store.append(
                    TOPIC, PARTITION, records, self._producer, self._sequence
                )
            except (SequenceError, StoreFullError, MalformedError) as exc:
                self._settle(group, exc)
                return
            except PomeloshiftError as exc:
                self._events.info(
                    "append_repeated", code=exc.code.value, why=exc.message
                )
                if isinstance(exc, StoreSilentError):
                    for append in group:
                        append.was_sent = True
                group = self._drop_expired(group)
                if not group:
                    return
                await sleep(self._reactor, delay_s)
                delay_s = min(2 * delay_s, STORE_RETRY_MAX_S)
                continue
            self._settle(group, None)
            return

    def _drop_expired(self, group: list[Append]) -> list[Append]:
        """Gives up on a group that was never sent and nobody waits for."""
        if any(append.was_sent or not append.done.called for append in group):
            return group
        return []

    def _settle(self, group: list[Append], exc: PomeloshiftError | None) -> None:
        self._sequence += 1
        if exc is not None:
            self._events.warn("append_failed", code=exc.code.value, why=exc.message)
        for append in group:
            if append.done.called:
                continue
            if exc is None:
                append.done.callback(None)
            else:
                append.done.errback(exc)

    def _take_snapshot(self, records: list[KeyedRecord], end: int) -> None:
        self.book = JobBook()
        for record in records:
            self._fold(record)
        self.book.next_offset = max(self.book.next_offset, end)
        self.on_reset()

    def _take_record(self, record: KeyedRecord) -> None:
        job_id = self._fold(record)
        if job_id is not None:
            self.on_change(job_id)

    def _fold(self, record: KeyedRecord) -> str | None:
        now, wall = self._clock.monotonic(), self._clock.wall()
        return self.book.apply(record.offset, record.key, record.value, now, wall)

    def _confirm(self, now: float) -> None:
        self.confirmed_at = now

    def _note_reachable(self, is_reachable: bool) -> None:
        self.is_reachable = is_reachable
