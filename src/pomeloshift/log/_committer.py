"""Appends the records of many writers to one stream in groups."""

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
    """Too many records wait for the log service; this one was not taken."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


@attrs.define
class _Waiting:
    record_id: str
    payload: bytes
    is_ambiguous: bool = False


class GroupCommitter:
    """Collects records and appends them in groups, one append at a time.

    The caller carries out the append that `next_append` returns and reports its
    end with `appended`, `refused` or `ambiguous`. An append whose outcome is not
    known is repeated with the same record ids until an answer or a read of the
    stream (`observed`) settles it. Times are in seconds on any one clock.

        committer = GroupCommitter("jobs-003", CommitLimits(), Random(1))
        committer.offer("r1", b"...", now)
        order = committer.next_append(now)
        committer.appended(order.append_id, 17, now)
    """

    def __init__(self, stream: str, limits: CommitLimits, rng: Random) -> None:
        self.stream = stream
        self.limits = limits
        self.appends = 0
        self._rng = rng
        self._waiting: dict[str, _Waiting] = {}
        self._give_up_at: dict[str, float] = {}
        self._bytes = 0
        self._flight: tuple[str, ...] = ()
        self._append_id = 0
        self._not_before = float("-inf")
        self._failures = 0

    @property
    def waiting_records(self) -> int:
        """The number of records that are not settled."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """The size of the records that are not settled."""
        return self._bytes

    @property
    def is_failing(self) -> bool:
        """Whether records wait although an append was tried."""
        return self._failures > 0 and bool(self._waiting)

    def has(self, record_id: str) -> bool:
        """Tells whether a record waits to be settled."""
        return record_id in self._waiting

    def has_room(self, records: int, size: int) -> bool:
        """Tells whether so many records and bytes would be taken."""
        fits_count = len(self._waiting) + records <= self.limits.buffer_records
        return fits_count and self._bytes + size <= self.limits.buffer_bytes

    def offer(
        self,
        record_id: str,
        payload: bytes,
        now: float,
        give_up_at: float | None = None,
    ) -> None:
        """Takes a record; a record id that already waits is taken once.

        Raises `CommitBufferFullError`. Without ``give_up_at`` the record is kept
        until it is settled.
        """
        if record_id in self._waiting:
            return
        if not self.has_room(1, len(payload)):
            raise CommitBufferFullError(
                f"{len(self._waiting)} records wait for the log",
                retry_after_s=self.limits.retry_max_s,
            )
        self._waiting[record_id] = _Waiting(record_id, payload)
        if give_up_at is not None:
            self._give_up_at[record_id] = give_up_at
        self._bytes += len(payload)

    def next_append(self, now: float) -> StartAppend | None:
        """Returns the append to start now, if there is one."""
        if self._flight or not self._waiting or now < self._not_before:
            return None
        group = self._next_group()
        self._flight = tuple(waiting.record_id for waiting in group)
        self._append_id += 1
        self.appends += 1
        self._not_before = now + self.limits.min_interval_s
        payloads = tuple(waiting.payload for waiting in group)
        return StartAppend(self._append_id, self.stream, payloads)

    def wake_at(self) -> float | None:
        """Returns when `next_append` or `expire` next has something to do."""
        times = list(self._give_up_at.values())
        if self._waiting and not self._flight:
            times.append(self._not_before)
        return min(times, default=None)

    def appended(
        self, append_id: int, first_offset: int, now: float
    ) -> list[CommitEffect]:
        """Takes the acknowledgement of an append."""
        if append_id != self._append_id:
            return []
        self._failures = 0
        flight, self._flight = self._flight, ()
        effects: list[CommitEffect] = []
        for position, record_id in enumerate(flight):
            effects += self.observed(record_id, first_offset + position)
        return effects

    def refused(self, append_id: int, now: float) -> None:
        """Notes that an append certainly had no effect."""
        if append_id == self._append_id:
            self._flight = ()
            self._back_off(now)

    def ambiguous(self, append_id: int, now: float) -> None:
        """Notes that the answer to an append was lost."""
        if append_id != self._append_id:
            return
        for record_id in self._flight:
            if record_id in self._waiting:
                self._waiting[record_id].is_ambiguous = True
        self._flight = ()
        self._back_off(now)

    def observed(self, record_id: str, offset: int) -> list[CommitEffect]:
        """Takes a record that was read from the stream."""
        waiting = self._waiting.pop(record_id, None)
        if waiting is None:
            return []
        self._give_up_at.pop(record_id, None)
        self._bytes -= len(waiting.payload)
        return [RecordCommitted(record_id, offset)]

    def expire(self, now: float) -> list[CommitEffect]:
        """Gives up records whose time is over and returns what is known of them."""
        late = [ident for ident, at in self._give_up_at.items() if at <= now]
        return [self._give_up(record_id) for record_id in late]

    def _give_up(self, record_id: str) -> CommitEffect:
        del self._give_up_at[record_id]
        waiting = self._waiting[record_id]
        if waiting.is_ambiguous or record_id in self._flight:
            return RecordUnknown(record_id, self._late_error(Ran.UNKNOWN))
        del self._waiting[record_id]
        self._bytes -= len(waiting.payload)
        return RecordRefused(record_id, self._late_error(Ran.NO))

    def _late_error(self, ran: Ran) -> ErrorReport:
        return ErrorReport(
            ErrorCode.LOG_UNAVAILABLE,
            "the log did not acknowledge the record in time",
            ran,
            self.limits.retry_max_s,
        )

    def _next_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        size = 0
        for waiting in self._waiting.values():
            size += len(waiting.payload)
            is_full = len(group) >= self.limits.max_records
            if group and (is_full or size > self.limits.max_bytes):
                break
            group.append(waiting)
        return group

    def _back_off(self, now: float) -> None:
        self._failures += 1
        longest = self.limits.retry_base_s * 2 ** min(self._failures, 16)
        longest = min(longest, self.limits.retry_max_s)
        self._not_before = now + longest * (0.5 + 0.5 * self._rng.random())
