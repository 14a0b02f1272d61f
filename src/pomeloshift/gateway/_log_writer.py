"""Appends records to one partition of the platform's log."""

from collections import deque
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ..appends import AppendSequence, AppendState, CallOutcome, CallPace, Step
from ..errors import ErrorCode, PomeloshiftError, Ran
from ..net._periodic_tasks import spawn
from ..platform import (
    MalformedError,
    SequenceError,
    StoreClient,
    StoreFullError,
    StoreNoResponseError,
)
from ._events import EventLog
from ._sleep import sleep
from ._timing import STORE_RETRY_MAX_S, STORE_RETRY_S

# The most characters of a job's id that a key contains. A key has at most 255 bytes;
# the rest of it holds the producer's name and the numbers of the key and of the
# fragment.
OWNER_CHARS = 100
# Sorts after all characters that keys consist of.
LAST_CHAR = "~"
# Largest number of an append's records that are looked for, each in one read.
MAX_LOOKED_FOR = 8


class LogTimeoutError(PomeloshiftError):
    """An append was not confirmed in time; it may still be applied."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class LogUnavailableError(PomeloshiftError):
    """A record is certainly not in the log and will not be appended."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


@attrs.define(eq=False)
class Append:
    """Records to append, all or none of them.

    ``size`` is in bytes. ``done`` fires with the first record's offset;
    ``may_be_applied`` is set while the store may have applied a call with the records.
    """

    records: list[tuple[str, bytes | None]]
    size: int
    done: Deferred[int] = attrs.field(factory=Deferred)
    may_be_applied: bool = False


class LogWriter:
    """Writes to one partition with at most one call in flight.

    Appends that are queued meanwhile are sent together in the next call, as many as
    ``pace`` allows. Each call has this process's producer name and a sequence number,
    so that a call whose response was lost can be retried without a second effect.
    `AppendSequence` decides when a call's outcome is known; until then nothing else is
    sent.
    """

    def __init__(
        self,
        topic: str,
        partition: int,
        store: StoreClient,
        producer: str,
        pace: CallPace,
        reactor: Any,
        events: EventLog,
    ) -> None:
        self.topic = topic
        self.partition = partition
        self._store = store
        self._producer = producer
        self.pace = pace
        self._reactor = reactor
        self._events = events
        self._sequence = AppendSequence()
        self._keys = 0
        self._queue: deque[Append] = deque()
        self._is_writing = False
        self._is_stopped = False

    @property
    def has_unwritten(self) -> bool:
        """Whether appends are queued or in flight."""
        return bool(self._queue) or self._is_writing

    @property
    def waiting_bytes(self) -> int:
        """The size of the appends that wait for the call in flight, in bytes."""
        return sum(append.size for append in self._queue)

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return float(self._reactor.seconds())

    def stop(self) -> None:
        """Stops writing; appends that are still queued are never written."""
        self._is_stopped = True

    def new_key(self, owner: str) -> str:
        """Returns a unique key for a record of the job ``owner``."""
        self._keys += 1
        return f"{owner[:OWNER_CHARS]}/{self._producer}/{self._keys}"

    def append(self, records: list[tuple[str, bytes | None]]) -> Append:
        """Queues records that are appended together, all or none of them."""
        size = sum(len(key) + len(value or b"") for key, value in records)
        append = Append(records, size)
        self._queue.append(append)
        if not self._is_writing:
            self._is_writing = True
            spawn(self._write_all())
        return append

    async def wait(self, append: Append, timeout_s: float) -> int:
        """Waits until an append is durable and returns its first record's offset.

        Raises `LogUnavailableError` if the append is not applied and never will be,
        and `LogTimeoutError` if it may still be applied.
        """
        timer = self._reactor.callLater(max(0.0, timeout_s), self._expire, append)
        try:
            return await append.done
        finally:
            if timer.active():
                timer.cancel()

    def _expire(self, append: Append) -> None:
        if append.done.called:
            return
        if append in self._queue:
            self._queue.remove(append)
        if append.may_be_applied:
            append.done.errback(
                LogTimeoutError("the log did not confirm the append in time")
            )
        else:
            append.done.errback(
                LogUnavailableError("the log did not accept the append in time")
            )

    async def _write_all(self) -> None:
        try:
            while self._queue and not self._is_stopped:
                await self._write(self._next_group())
        finally:
            self._is_writing = False

    def _next_group(self) -> list[Append]:
        """Removes from the queue the appends that fit into one call."""
        group = [self._queue.popleft()]
        size = group[0].size
        while self._queue and size + self._queue[0].size <= self.pace.call_bytes:
            size += self._queue[0].size
            group.append(self._queue.popleft())
        return group

    async def _write(self, group: list[Append]) -> None:
        """Writes appends in one call; returns once their outcome is known."""
        sequence, delay_s, lost_calls = self._sequence, STORE_RETRY_S, 0
        while not self._is_stopped:
            # Appends that nobody waits for any more are left out until the store may
            # have applied the call; after that a retry must repeat the same call.
            if not sequence.may_be_applied:
                group = [append for append in group if not append.done.called]
            if not group:
                return
            timeout_s = self.pace.timeout_s(_size(group), lost_calls)
            began_at = self.now()
            offset, exc = await self._call(group, timeout_s)
            took_s = self.now() - began_at
            if sequence.state is AppendState.SETTLED:
                is_applied = sequence.take()
                self._mark(group, False)
                if is_applied:
                    assert offset is not None
                    self._succeed(group, offset)
                else:
                    self._fail(group, exc or _not_applied())
                return
            if exc is not None:
                # A connection that broke earlier says nothing about the size.
                if isinstance(exc, StoreNoResponseError) and took_s >= timeout_s:
                    lost_calls += 1
                    self.pace.note_lost(_size(group))
                self._events.info(
                    "append_repeated",
                    topic=self.topic,
                    code=exc.code.value,
                    why=exc.message,
                    state=sequence.state.value,
                    step=sequence.step.value,
                    bytes=_size(group),
                    took_s=took_s,
                    timeout_s=timeout_s,
                    waiting=len(self._queue),
                    waiting_bytes=self.waiting_bytes,
                )
                await sleep(self._reactor, delay_s)
                delay_s = min(2 * delay_s, STORE_RETRY_MAX_S)

    async def _call(
        self, group: list[Append], timeout_s: float
    ) -> tuple[int | None, PomeloshiftError | None]:
        """Makes the next call for a group; returns its offset or its error."""
        sequence = self._sequence
        step = sequence.begin()
        # An append that expires from here on has an unknown outcome.
        self._mark(group, True)
        try:
            if step is Step.READ:
                offset = await self._find(group)
                sequence.settle(offset is not None)
            else:
                sent = group if step is Step.SEND else []
                offset = await self._append(sent, timeout_s)
                sequence.end(CallOutcome.DONE)
        except LogTimeoutError as exc:
            sequence.settle(False)
            return None, exc
        except PomeloshiftError as exc:
            sequence.end(_outcome_of(exc))
            # This call was not applied; an earlier one with the same records may be.
            self._mark(group, sequence.may_be_applied)
            return None, exc
        return offset, None

    async def _append(self, group: list[Append], timeout_s: float) -> int:
        records = [record for append in group for record in append.records]
        sequence = self._sequence
        began_at = self.now()
        offset = await self._store.append(
            self.topic,
            self.partition,
            records,
            self._producer,
            sequence.number,
            timeout_s=timeout_s,
            epoch=sequence.epoch,
        )
        self.pace.note_response(_size(group), self.now() - began_at)
        return offset

    async def _find(self, group: list[Append]) -> int | None:
        """Returns the offset of a group that the log holds, None if it does not.

        A group is applied as a whole, so one record tells, if only this process writes
        its key. Some others are looked for in case it was removed since. Raises
        `LogTimeoutError` if the group has no such record.
        """
        records = [record for append in group for record in append.records]
        own = [
            (index, key)
            for index, (key, value) in enumerate(records)
            if value is not None and f"/{self._producer}/" in key
        ]
        for index, key in own[:MAX_LOOKED_FOR]:
            offset = await self._find_key(key)
            if offset is not None:
                return offset - index
        if not own:
            raise LogTimeoutError(
                "the log does not tell whether the append was applied"
            )
        return None

    async def _find_key(self, key: str) -> int | None:
        after = key[:-1] + chr(ord(key[-1]) - 1) + LAST_CHAR
        while True:
            page = await self._store.newest(self.topic, self.partition, after)
            for stored in page.records:
                if stored.key == key:
                    return stored.offset
            if not page.has_more or not page.records or page.records[-1].key > key:
                return None
            after = page.records[-1].key

    @staticmethod
    def _mark(group: list[Append], may_be_applied: bool) -> None:
        for append in group:
            append.may_be_applied = may_be_applied

    @staticmethod
    def _succeed(group: list[Append], offset: int) -> None:
        for append in group:
            if not append.done.called:
                append.done.callback(offset)
            offset += len(append.records)

    def _fail(self, group: list[Append], exc: PomeloshiftError) -> None:
        self._events.warn(
            "append_failed", topic=self.topic, code=exc.code.value, why=exc.message
        )
        for append in group:
            if not append.done.called:
                append.done.errback(exc)


def _size(group: list[Append]) -> int:
    return sum(append.size for append in group)


def _outcome_of(exc: PomeloshiftError) -> CallOutcome:
    """Returns what an error of the store says about the call."""
    if isinstance(exc, StoreNoResponseError):
        return CallOutcome.NO_RESPONSE
    if isinstance(exc, SequenceError):
        return CallOutcome.OUT_OF_ORDER
    if isinstance(exc, StoreFullError | MalformedError):
        return CallOutcome.REFUSED
    return CallOutcome.NOT_NOW


def _not_applied() -> LogUnavailableError:
    return LogUnavailableError("the store did not apply the append and never will")
