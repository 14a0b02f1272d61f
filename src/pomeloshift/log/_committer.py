"""Group commit: appends the records of many writers to one stream in groups."""

from random import Random

import attrs

from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran
from ._commit_limits import CommitLimits
from ._commit_messages import (
    CommitEffect,
    RecordCommitted,
    RecordRefused,
    RecordUnknown,
    StartAppend,
)


class CommitBufferFullError(PomeloshiftError):
    """Too many records wait for the log service; this one was not accepted."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


@attrs.define
class _PendingRecord:
    record_id: str
    payload: bytes
    is_ambiguous: bool = False


class GroupCommitter:
    """Collects records and appends them in groups, one append at a time.

    The caller executes the append that `next_append` returns and reports its
    outcome with `appended`, `refused` or `ambiguous`. An append with an unknown
    outcome is repeated with the same record ids until an acknowledgement or a read
    of the stream (`observed`) resolves it. Times are in seconds on a clock of the
    caller's choice.

        committer = GroupCommitter("jobs-003", CommitLimits(), Random(1))
        committer.offer("r1", b"...", now)
        append = committer.next_append(now)
        committer.appended(append.append_id, 17, now)
    """

    def __init__(self, stream: str, limits: CommitLimits, rng: Random) -> None:
        self.stream = stream
        self.limits = limits
        self.appends = 0
        self._rng = rng
        self._pending: dict[str, _PendingRecord] = {}
        self._expires_at: dict[str, float] = {}
        self._bytes = 0
        self._in_flight: tuple[str, ...] = ()
        self._append_id = 0
        self._not_before = float("-inf")
        self._failures = 0

    @property
    def waiting_records(self) -> int:
        """The number of records that are not committed yet."""
        return len(self._pending)

    @property
    def waiting_bytes(self) -> int:
        """The size in bytes of the records that are not committed yet."""
        return self._bytes

    @property
    def is_failing(self) -> bool:
        """Whether records wait and the last append failed."""
        return self._failures > 0 and bool(self._pending)

    def is_pending(self, record_id: str) -> bool:
        """Returns whether a record waits to be committed."""
        return record_id in self._pending

    def has_capacity(self, records: int, size: int) -> bool:
        """Returns whether the buffer has space for so many records and bytes."""
        fits_count = len(self._pending) + records <= self.limits.buffer_records
        return fits_count and self._bytes + size <= self.limits.buffer_bytes

    def offer(
        self,
        record_id: str,
        payload: bytes,
        now: float,
        expires_at: float | None = None,
    ) -> None:
        """Queues a record, unless a record with its id waits already.

        Raises `CommitBufferFullError`. Without ``expires_at`` the record is retried
        until it is committed.
        """
        if record_id in self._pending:
            return
        if not self.has_capacity(1, len(payload)):
            raise CommitBufferFullError(
                f"{len(self._pending)} records already wait for the log",
                retry_after_s=self.limits.retry_max_s,
            )
        self._pending[record_id] = _PendingRecord(record_id, payload)
        if expires_at is not None:
            self._expires_at[record_id] = expires_at
        self._bytes += len(payload)

    def next_append(self, now: float) -> StartAppend | None:
        """Returns the append to start now, or `None`."""
        if self._in_flight or not self._pending or now < self._not_before:
            return None
        group = self._next_group()
        self._in_flight = tuple(pending.record_id for pending in group)
        self._append_id += 1
        self.appends += 1
        self._not_before = now + self.limits.min_interval_s
        payloads = tuple(pending.payload for pending in group)
        return StartAppend(self._append_id, self.stream, payloads)

    def wake_at(self) -> float | None:
        """Returns when to call `next_append` or `expire` next; `None` if idle."""
        times = list(self._expires_at.values())
        if self._pending and not self._in_flight:
            times.append(self._not_before)
        return min(times, default=None)

    def appended(
        self, append_id: int, first_offset: int, now: float
    ) -> list[CommitEffect]:
        """Called when an append was acknowledged."""
        if append_id != self._append_id:
            return []
        self._failures = 0
        in_flight, self._in_flight = self._in_flight, ()
        effects: list[CommitEffect] = []
        for position, record_id in enumerate(in_flight):
            effects += self.observed(record_id, first_offset + position)
        return effects

    def refused(self, append_id: int, now: float) -> None:
        """Called when an append certainly had no effect."""
        if append_id == self._append_id:
            self._in_flight = ()
            self._back_off(now)

    def ambiguous(self, append_id: int, now: float) -> None:
        """Called when the outcome of an append is unknown."""
        if append_id != self._append_id:
            return
        for record_id in self._in_flight:
            if record_id in self._pending:
                self._pending[record_id].is_ambiguous = True
        self._in_flight = ()
        self._back_off(now)

    def observed(self, record_id: str, offset: int) -> list[CommitEffect]:
        """Called when a record was read from the stream, and so is durable."""
        pending = self._pending.pop(record_id, None)
        if pending is None:
            return []
        self._expires_at.pop(record_id, None)
        self._bytes -= len(pending.payload)
        return [RecordCommitted(record_id, offset)]

    def expire(self, now: float) -> list[CommitEffect]:
        """Returns `RecordRefused` or `RecordUnknown` for each expired record."""
        expired = [record_id for record_id, at in self._expires_at.items() if at <= now]
        return [self._expire_record(record_id) for record_id in expired]

    def _expire_record(self, record_id: str) -> CommitEffect:
        del self._expires_at[record_id]
        pending = self._pending[record_id]
        if pending.is_ambiguous or record_id in self._in_flight:
            return RecordUnknown(record_id, self._timeout_error(Ran.UNKNOWN))
        del self._pending[record_id]
        self._bytes -= len(pending.payload)
        return RecordRefused(record_id, self._timeout_error(Ran.NO))

    def _timeout_error(self, ran: Ran) -> ErrorReport:
        return ErrorReport(
            ErrorCode.LOG_UNAVAILABLE,
            "the log did not acknowledge the record in time",
            ran,
            self.limits.retry_max_s,
        )

    def _next_group(self) -> list[_PendingRecord]:
        group: list[_PendingRecord] = []
        size = 0
        for pending in self._pending.values():
            size += len(pending.payload)
            is_full = len(group) >= self.limits.max_records
            if group and (is_full or size > self.limits.max_bytes):
                break
            group.append(pending)
        return group

    def _back_off(self, now: float) -> None:
        self._failures += 1
        longest_s = self.limits.retry_base_s * 2 ** min(self._failures, 16)
        longest_s = min(longest_s, self.limits.retry_max_s)
        self._not_before = now + longest_s * (0.5 + 0.5 * self._rng.random())
