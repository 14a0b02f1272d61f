"""Simulates the log service, without I/O."""

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
class AppendResult:
    """The first offset of an append that was applied.

    With ``is_lost`` the writer gets no response.
    """

    first_offset: int
    is_lost: bool = False


@attrs.define
class _Stream:
    """The records of a stream.

    The first ``skipped`` payloads have expired. They are deleted from the list only
    when they are more than half of it, so that the cost of deletion is amortised.
    """

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

    All payloads of an append are applied together and count as one append against
    the rate limit. Failures are raised as the error types of `pomeloshift.log`.
    ``appends``, ``lost_answers`` and ``refused`` count appends that were applied,
    those without a response, and refused operations.
    """

    def __init__(self, settings: LogSettings, rng: Random) -> None:
        self.settings = settings
        self.faults = LogFaults()
        self.appends = 0
        self.lost_answers = 0
        self.refused = 0
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._append_tokens = settings.burst
        self._refilled_at: float | None = None

    def append(
        self, stream: str, payloads: Sequence[bytes], now: float
    ) -> AppendResult:
        """Appends the payloads and returns the result.

        Raises `LogUnavailableError` or `LogRateLimitedError` if nothing was appended.
        """
        self._check_available()
        self._take_append_token(now)
        target = self._streams.setdefault(stream, _Stream())
        self._expire(target, now)
        offset = target.next_offset
        target.payloads.extend(payloads)
        target.stored_at.extend([now] * len(payloads))
        self._expire(target, now)
        self.appends += 1
        return AppendResult(offset, self._loses_response())

    def read(self, stream: str, offset: int, limit: int, now: float) -> LogPage:
        """Returns up to ``limit`` records from ``offset`` on.

        Raises `LogExpiredError` if ``offset`` is older than the first record stored,
        and `LogUnavailableError` as the faults demand.
        """
        self._check_available()
        source = self._streams.get(stream)
        if source is None:
            return LogPage(0, 0)
        self._expire(source, now)
        if offset < source.first_offset:
            raise LogExpiredError(
                f"offset {offset} is below the first stored one",
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

    def _check_available(self) -> None:
        refused = self.faults.is_down
        if not refused and self.faults.refusal_rate > 0:
            refused = self._rng.random() < self.faults.refusal_rate
        if refused:
            self.refused += 1
            raise LogUnavailableError("the log service is unavailable")

    def _take_append_token(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self.settings.appends_per_s
            self._append_tokens = min(self.settings.burst, self._append_tokens + gained)
        self._refilled_at = now
        if self._append_tokens < 1:
            self.refused += 1
            raise LogRateLimitedError(
                "the append rate limit is exceeded", retry_after_s=RATE_RETRY_AFTER_S
            )
        self._append_tokens -= 1

    def _loses_response(self) -> bool:
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
        stored = len(target.payloads) - target.skipped
        count = max(0, stored - self.settings.max_records)
        oldest = now - self.settings.retention_s
        while count < stored and target.stored_at[target.skipped + count] < oldest:
            count += 1
        if count:
            target.drop(count)
