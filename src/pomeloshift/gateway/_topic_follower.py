"""Follows one partition of a keyed topic."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import CancelledError, Deferred

from ..errors import PomeloshiftError
from ..net._periodic_tasks import spawn
from ..platform import (
    HistoryLostError,
    KeyedRecord,
    NewestPage,
    Page,
    StoreClient,
    StoreUnreachableError,
)
from ._events import EventLog
from ._sleep import sleep
from ._timing import POLL_S, STORE_RETRY_MAX_S, STORE_RETRY_S

RecordHandler = Callable[[KeyedRecord], None]

# An error may quote the whole record.
MAX_WHY_CHARS = 200


def _ignore(value: Any) -> None:
    """The default handler, which does nothing."""


@attrs.frozen
class TopicHandlers:
    """The functions that a follower calls.

    ``record`` is called with each record. After a start or a loss of history,
    ``begin_snapshot`` is called instead with the newest record of each key, then
    ``in_snapshot``, by default ``record``, with each of them, and ``end_snapshot`` with
    the end of the partition. ``confirmed`` is called with the monotonic time whenever
    all records are applied, and ``confirmed_since`` with the time, including suspended
    time, at which the read that showed it was requested. ``reachable`` is called with
    true when the store starts to respond and with false when it stops. A record whose
    handler raises is skipped.
    """

    record: RecordHandler
    begin_snapshot: Callable[[list[KeyedRecord]], None] = attrs.field(
        default=_ignore, kw_only=True
    )
    in_snapshot: RecordHandler = attrs.field(kw_only=True)
    end_snapshot: Callable[[int], None] = attrs.field(default=_ignore, kw_only=True)
    confirmed: Callable[[float], None] = attrs.field(default=_ignore, kw_only=True)
    confirmed_since: Callable[[float], None] | None = attrs.field(
        default=None, kw_only=True
    )
    reachable: Callable[[bool], None] = attrs.field(default=_ignore, kw_only=True)

    @in_snapshot.default
    def _record(self) -> RecordHandler:
        return self.record


@attrs.define
class _SnapshotPages:
    """The pages of a snapshot that have been read, and where the next one begins.

    ``end`` is the partition's end at the time of the first page, which was requested at
    ``requested_at``.
    """

    requested_at: float
    records: list[KeyedRecord] = attrs.field(factory=list)
    after: str = ""
    end: int | None = None

    def add(self, page: NewestPage) -> bool:
        """Adds the next page; returns whether it is the last one."""
        if self.end is None:
            self.end = page.end
        self.records += page.records
        if page.records:
            self.after = page.records[-1].key
        return not page.has_more or not page.records


class TopicFollower:
    """Reads the records of a partition in order with long polls of ``poll_s``."""

    def __init__(
        self,
        topic: str,
        partition: int,
        store: StoreClient,
        reactor: Any,
        clock: Any,
        events: EventLog,
        handlers: TopicHandlers,
        read_gap_s: float = 0.0,
        poll_s: float = POLL_S,
    ) -> None:
        self.topic = topic
        self.partition = partition
        self._store = store
        self._reactor = reactor
        self._clock = clock
        self._events = events
        self._handlers = handlers
        self._read_gap_s = read_gap_s
        self.poll_s = poll_s
        self._offset: int | None = None
        self._is_reachable = True
        self._failures = 0
        self._is_stopped = False
        self._loop: Deferred[None] | None = None
        # What the loop has read of a snapshot; kept while reads fail.
        self._pages: _SnapshotPages | None = None

    @property
    def is_synced(self) -> bool:
        """Whether a snapshot has been read, and history was not lost since."""
        return self._offset is not None

    @property
    def is_reachable(self) -> bool:
        """Whether the store responded to the last read."""
        return self._is_reachable

    def start(self) -> None:
        """Starts the polling loop."""
        self._loop = spawn(self._run())

    def stop(self) -> None:
        """Stops the polling loop."""
        self._is_stopped = True
        if self._loop is not None:
            self._loop.cancel()

    async def catch_up(self) -> None:
        """Applies all records up to the partition's current end.

        Raises an error of the store if the records cannot be read. If the store did
        not respond to the last read, the error is raised without another read.
        """
        if not self._is_reachable:
            raise StoreUnreachableError("the store did not respond to the last read")
        while True:
            if self._offset is None:
                if await self._take_snapshot(_SnapshotPages(self._request_time())):
                    return
                continue
            offset, requested_at = self._offset, self._request_time()
            page = await self._store.read(self.topic, self.partition, offset, 0.0)
            if self._apply(offset, page) and page.next_offset >= page.end:
                self._confirm(requested_at)
                return

    async def read_beside(self, timeout_s: float, address: str | None = None) -> None:
        """Reads once beside the polling loop, whatever became of its last read.

        ``address`` is that of a relay, None for the path that all calls take. Raises an
        error of the store if there is no response within ``timeout_s`` seconds.
        """
        offset, requested_at = self._offset, self._request_time()
        if offset is None:
            return
        page = await self._store.read(
            self.topic,
            self.partition,
            offset,
            0.0,
            timeout_s=timeout_s,
            address=address,
        )
        if self._apply(offset, page) and page.next_offset >= page.end:
            self._confirm(requested_at)

    async def _run(self) -> None:
        while not self._is_stopped:
            try:
                await self._poll()
            except HistoryLostError as exc:
                self._events.warn(
                    "history_lost",
                    topic=self.topic,
                    offset=self._offset,
                    first=exc.first,
                )
                self._offset = self._pages = None
            except PomeloshiftError as exc:
                self._note_failure(exc)
                await self._wait_after_failure()
            except CancelledError:
                raise
            except Exception as exc:
                self._events.warn(
                    "topic_not_read",
                    topic=self.topic,
                    offset=self._offset,
                    why=repr(exc)[:MAX_WHY_CHARS],
                )
                await self._wait_after_failure()

    async def _wait_after_failure(self) -> None:
        delay = min(STORE_RETRY_S * 2**self._failures, STORE_RETRY_MAX_S)
        self._failures += 1
        await sleep(self._reactor, delay)

    async def _poll(self) -> None:
        if self._offset is None:
            if self._pages is None:
                self._pages = _SnapshotPages(self._request_time())
            await self._take_snapshot(self._pages)
            return
        # A read that does not wait for records shows at once whether the store is
        # available again.
        wait_s = self.poll_s if self._is_reachable else 0.0
        offset, requested_at = self._offset, self._request_time()
        page = await self._store.read(self.topic, self.partition, offset, wait_s)
        if self._apply(offset, page) and page.next_offset >= page.end:
            self._confirm(requested_at)
        if page.records and self._read_gap_s > 0:
            await sleep(self._reactor, self._read_gap_s)

    async def _take_snapshot(self, pages: _SnapshotPages) -> bool:
        """Reads the newest records; returns False if another call did so before.

        `catch_up` and the loop may read a snapshot at once. Only the first is applied:
        a second one might be older than what was applied since. Pages that ``pages``
        has already are not read again.
        """
        while True:
            page = await self._store.newest(self.topic, self.partition, pages.after)
            if pages.add(page):
                break
        assert pages.end is not None
        end = pages.end
        # The pages are not one snapshot: records from the first page's end on are left
        # out here and read again. So are keys that were removed meanwhile, because a
        # later page may lack others that were removed with them.
        removed = await self._removed_keys(end, page.end)
        self._pages = None
        if self._offset is not None:
            return False
        known = [r for r in pages.records if r.offset < end and r.key not in removed]
        known.sort(key=lambda record: record.offset)
        self._handlers.begin_snapshot(known)
        for record in known:
            self._apply_guarded(record, self._handlers.in_snapshot)
        self._handlers.end_snapshot(end)
        self._offset = end
        self._events.info(
            "topic_read", topic=self.topic, records=len(known), offset=end
        )
        self._confirm(pages.requested_at)
        return True

    async def _removed_keys(self, start: int, end: int) -> set[str]:
        """Returns the keys that were removed between two offsets."""
        removed: set[str] = set()
        while start < end:
            page = await self._store.read(self.topic, self.partition, start, 0.0)
            if not page.records:
                break
            removed.update(r.key for r in page.records if r.value is None)
            start = page.next_offset
        return removed

    def _apply(self, start: int, page: Page) -> bool:
        """Applies records that were read from the offset ``start`` on.

        `catch_up` and the loop may read at once; each record is applied once. Returns
        False for a read that began before a loss of history or a later snapshot, and
        would leave out records.
        """
        if self._offset is None or start > self._offset:
            return False
        for record in page.records:
            if record.offset >= self._offset:
                self._apply_guarded(record, self._handlers.record)
        self._offset = max(self._offset, page.next_offset)
        return True

    def _apply_guarded(self, record: KeyedRecord, apply: RecordHandler) -> None:
        """Applies a record; one that cannot be applied must not end the following."""
        try:
            apply(record)
        except Exception as exc:
            self._events.warn(
                "record_skipped",
                topic=self.topic,
                key=record.key,
                offset=record.offset,
                why=repr(exc)[:MAX_WHY_CHARS],
            )

    def _request_time(self) -> float:
        """Returns the time for ``confirmed_since``, 0 where nothing asks for it."""
        if self._handlers.confirmed_since is None:
            return 0.0
        return float(self._clock.boottime())

    def _confirm(self, requested_at: float) -> None:
        self._failures = 0
        if not self._is_reachable:
            self._is_reachable = True
            self._events.warn("store_regained", topic=self.topic)
            self._handlers.reachable(True)
        self._handlers.confirmed(self._clock.monotonic())
        if self._handlers.confirmed_since is not None:
            self._handlers.confirmed_since(requested_at)

    def _note_failure(self, exc: PomeloshiftError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._events.warn(
                "store_lost", topic=self.topic, code=exc.code.value, why=exc.message
            )
            self._handlers.reachable(False)
