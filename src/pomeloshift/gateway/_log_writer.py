"""Appends records to one partition of the platform's log."""

from collections import deque
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..net._periodic_tasks import spawn
from ..platform import (
    MalformedError,
    SequenceError,
    StoreClient,
    StoreFullError,
    StoreSilentError,
)
from ._events import EventLog
from ._sleep import sleep
from ._timing import STORE_RETRY_MAX_S, STORE_RETRY_S

# Keys have at most 255 bytes, with the producer's name and a fragment's number.
OWNER_CHARS = 100


class LogTimeoutError(PomeloshiftError):
    """A record's append was not confirmed in time; it may still take effect."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class LogUnavailableError(PomeloshiftError):
    """A record was taken back before it was sent to the store."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


@attrs.define(eq=False)
class Append:
    """Records on their way into the log, kept all or nothing.

    ``done`` fires with the first record's offset; ``may_be_kept`` is set once the
    store may have carried out a call with them.
    """

    records: list[tuple[str, bytes | None]]
    size: int
    done: Deferred[int] = attrs.field(factory=Deferred)
    may_be_applied: bool = False


class LogWriter:
    """Writes to one partition, with one call under way at a time.

    Appends that come meanwhile are sent together with the next call. Each call carries
    this process's producer name and a number, so that a call whose answer was lost is
    sent again without a second effect.
    """

    def __init__(
        self,
        topic: str,
        partition: int,
        store: StoreClient,
        producer: str,
        call_bytes: int,
        reactor: Any,
        events: EventLog,
    ) -> None:
        self.topic = topic
        self.partition = partition
        self._store = store
        self._producer = producer
        self._call_bytes = call_bytes
        self._reactor = reactor
        self._events = events
        self._sequence = 0
        self._keys = 0
        self._queue: deque[Append] = deque()
        self._is_writing = False
        self._is_stopped = False

    @property
    def has_unwritten(self) -> bool:
        """Whether appends are still under way."""
        return bool(self._queue) or self._is_writing

    def stop(self) -> None:
        """Writes nothing more."""
        self._is_stopped = True

    def new_key(self, owner: str) -> str:
        """Returns a key that no other record has, for a record of a job."""
        self._keys += 1
        return f"{owner[:OWNER_CHARS]}/{self._producer}/{self._keys}"

    def append(self, records: list[tuple[str, bytes | None]]) -> Append:
        """Queues records that are kept together."""
        size = sum(len(key) + len(value or b"") for key, value in records)
        append = Append(records, size)
        self._queue.append(append)
        if not self._is_writing:
            self._is_writing = True
            spawn(self._write_all())
        return append

    async def wait(self, append: Append, timeout_s: float) -> int:
        """Waits until an append is kept and returns its first record's offset.

        Raises `LogAwayError` if it certainly had no effect and never will have, and
        `LogTimeoutError` if it may still take effect.
        """
        timer = self._reactor.callLater(timeout_s, self._expire, append)
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
            append.done.errback(LogTimeoutError("the log does not answer"))
        else:
            append.done.errback(LogUnavailableError("the log cannot be written"))

    async def _write_all(self) -> None:
        try:
            while self._queue and not self._is_stopped:
                await self._write(self._next_group())
        finally:
            self._is_writing = False

    def _next_group(self) -> list[Append]:
        """Takes the appends that fit into one call."""
        group = [self._queue.popleft()]
        size = group[0].size
        while self._queue and size + self._queue[0].size <= self._call_bytes // 2:
            size += self._queue[0].size
            group.append(self._queue.popleft())
        return group

    async def _write(self, group: list[Append]) -> None:
        delay_s = STORE_RETRY_S
        while not self._is_stopped:
            # Until the store may have carried out the call, those that nobody waits
            # for any more are left out; after that the call must stay as it was.
            if not group[0].may_be_applied:
                group = [append for append in group if not append.done.called]
            if not group:
                return
            try:
                offset = await self._call(group)
            except (SequenceError, StoreFullError, MalformedError) as exc:
                if isinstance(exc, SequenceError) and exc.expected is not None:
                    self._sequence = exc.expected
                self._fail(group, exc)
                return
            except PomeloshiftError as exc:
                self._events.info(
                    "append_repeated",
                    topic=self.topic,
                    code=exc.code.value,
                    why=exc.message,
                )
                await sleep(self._reactor, delay_s)
                delay_s = min(2 * delay_s, STORE_RETRY_MAX_S)
                continue
            self._sequence += 1
            self._succeed(group, offset)
            return

    async def _call(self, group: list[Append]) -> int:
        records = [record for append in group for record in append.records]
        could_be_applied = group[0].may_be_applied
        # From here on a deadline that passes finds the outcome unknown.
        self._mark(group, True)
        try:
            return await self._store.append(
                self.topic, self.partition, records, self._producer, self._sequence
            )
        except StoreSilentError:
            raise
        except PomeloshiftError:
            # Nothing was done, by this call at least.
            self._mark(group, could_be_applied)
            raise

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
