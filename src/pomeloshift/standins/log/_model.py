"""The behaviour of the log service without connections."""

from collections.abc import Sequence
from random import Random

import attrs

from ...log import (
    LogExpiredError,
    LogPage,
    LogRateLimitedError,
    LogUnavailableError,
    StoredRecord,
)
from ._faults import LogFaults
from ._settings import LogSettings

RATE_RETRY_AFTER_S = 0.1


@attrs.frozen
class AppendAnswer:
    """The effect of an append; ``is_lost`` keeps the answer from the writer."""

    first_offset: int
    is_lost: bool = False


@attrs.define
class _Stream:
    first_offset: int = 0
    payloads: list[bytes] = attrs.field(factory=list)
    stored_at: list[float] = attrs.field(factory=list)
    skipped: int = 0

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.payloads) - self.skipped

    def drop(self, count: int) -> None:
        for position in range(self.skipped, self.skipped + count):
            self.payloads[position] = b""
        self.skipped += count
        self.first_offset += count
        if self.skipped > len(self.payloads) // 2:
            del self.payloads[: self.skipped]
            del self.stored_at[: self.skipped]
            self.skipped = 0


class LogModel:
    """Streams with limits, retention and faults; the caller passes the time.

    Several payloads of one append take effect together and count once against the
    rate. Failures are raised with the types of `pomeloshift.log`.
    """

    def __init__(self, settings: LogSettings, rng: Random) -> None:
        self.settings = settings
        self.faults = LogFaults()
        self.appends = 0
        self.lost_answers = 0
        self.refused = 0
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._allowance = settings.burst
        self._refilled_at: float | None = None

    def append(
        self, stream: str, payloads: Sequence[bytes], now: float
    ) -> AppendAnswer:
        """Appends the payloads and returns the first one's offset."""
        self._check_up()
        self._take_allowance(now)
        target = self._streams.setdefault(stream, _Stream())
        self._expire(target, now)
        offset = target.next_offset
        target.payloads.extend(payloads)
        target.stored_at.extend([now] * len(payloads))
        self._expire(target, now)
        self.appends += 1
        return AppendAnswer(offset, self._loses_answer())

    def read(self, stream: str, offset: int, limit: int, now: float) -> LogPage:
        """Returns up to ``limit`` records from ``offset`` on."""
        self._check_up()
        source = self._streams.get(stream)
        if source is None:
            return LogPage(0, 0)
        self._expire(source, now)
        if offset < source.first_offset:
            raise LogExpiredError(
                f"offset {offset} is older than the first one kept",
                source.first_offset,
            )
        records = self._page(source, offset, limit)
        return LogPage(source.first_offset, source.next_offset, records)

    def expire_before(self, stream: str, offset: int) -> None:
        """Drops the records of a stream that are older than ``offset``."""
        target = self._streams.setdefault(stream, _Stream())
        count = min(offset, target.next_offset) - target.first_offset
        if count > 0:
            target.drop(count)

    def _page(
        self, source: _Stream, offset: int, limit: int
    ) -> tuple[StoredRecord, ...]:
        start = source.skipped + offset - source.first_offset
        records: list[StoredRecord] = []
        size = 0
        for number, payload in enumerate(source.payloads[start : start + limit]):
            size += len(payload)
            if records and size > self.settings.max_page_bytes:
                break
            records.append(StoredRecord(offset + number, payload))
        return tuple(records)

    def _check_up(self) -> None:
        refused = self.faults.is_down
        if not refused and self.faults.refusal_rate > 0:
            refused = self._rng.random() < self.faults.refusal_rate
        if refused:
            self.refused += 1
            raise LogUnavailableError("the log service is down")

    def _take_allowance(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self.settings.appends_per_s
            self._allowance = min(self.settings.burst, self._allowance + gained)
        self._refilled_at = now
        if self._allowance < 1:
            self.refused += 1
            raise LogRateLimitedError(
                "the append rate is used up", retry_after_s=RATE_RETRY_AFTER_S
            )
        self._allowance -= 1

    def _loses_answer(self) -> bool:
        faults = self.faults
        lost = False
        if faults.lost_answers > 0:
            self.faults = attrs.evolve(faults, lost_answers=faults.lost_answers - 1)
            lost = True
        elif faults.lost_answer_rate > 0:
            lost = self._rng.random() < faults.lost_answer_rate
        self.lost_answers += lost
        return lost

    def _expire(self, target: _Stream, now: float) -> None:
        kept = len(target.payloads) - target.skipped
        count = max(0, kept - self.settings.max_records)
        oldest = now - self.settings.retention_s
        while count < kept and target.stored_at[target.skipped + count] < oldest:
            count += 1
        if count:
            target.drop(count)
