"""Replays the job log into a `JobTable` and appends to it."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ..jobs import JobRecord, JobTable, encode_record, split
from ..platform import KeyedRecord, StoreClient
from ._events import EventLog
from ._log_writer import Append, LogWriter
from ._timing import JOB_READ_GAP_S
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.jobs"
PARTITION = 0


class JobLog:
    """One partition of the job log, replayed into ``table``."""

    def __init__(
        self,
        store: StoreClient,
        writer: LogWriter,
        record_bytes: int,
        reactor: Any,
        clock: Any,
        events: EventLog,
    ) -> None:
        self.table = JobTable()
        self.writer = writer
        self.confirmed_at = float("-inf")
        self.on_change: Callable[[str], None] = lambda job_id: None
        self._record_bytes = record_bytes
        self._clock = clock
        handlers = TopicHandlers(
            self._take_record,
            begin_snapshot=self._begin_snapshot,
            in_snapshot=self._take_stored,
            end_snapshot=self._end_snapshot,
            confirmed=self._confirm,
        )
        self.follower = TopicFollower(
            TOPIC, PARTITION, store, reactor, clock, events, handlers, JOB_READ_GAP_S
        )

    def age(self) -> float:
        """Returns the seconds since the log was last known to be fully replayed.

        Returns infinity if the log was never fully replayed.
        """
        return float(self._clock.monotonic()) - self.confirmed_at

    def append(self, record: JobRecord) -> Append:
        """Queues a record; see `LogWriter.append`."""
        key = self.writer.new_key(record.job_id)
        fragments = split(key, encode_record(record), self._record_bytes)
        return self.writer.append(list(fragments))

    async def append_within(self, record: JobRecord, timeout_s: float) -> int:
        """Appends a record and returns its offset once it is durable.

        Raises the errors of `LogWriter.wait`.
        """
        return await self.writer.wait(self.append(record), timeout_s)

    def remove(self, keys: list[str]) -> Deferred[int]:
        """Removes the records with these keys; fires once the removal is durable."""
        return self.writer.append([(key, None) for key in keys]).done

    def _begin_snapshot(self, records: list[KeyedRecord]) -> None:
        self.table = JobTable()

    def _take_stored(self, record: KeyedRecord) -> None:
        self._apply(record)

    def _end_snapshot(self, end: int) -> None:
        self.table.next_offset = max(self.table.next_offset, end)

    def _take_record(self, record: KeyedRecord) -> None:
        job_id = self._apply(record)
        if job_id is not None:
            self.on_change(job_id)

    def _apply(self, record: KeyedRecord) -> str | None:
        now, wall = self._clock.monotonic(), self._clock.wall()
        return self.table.apply(record.offset, record.key, record.value, now, wall)

    def _confirm(self, now: float) -> None:
        self.confirmed_at = now
