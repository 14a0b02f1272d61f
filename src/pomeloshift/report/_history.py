"""The account of all entries, folded from its stream."""

import attrs

from ..log import Record
from ._counts import BurnCell, BurnCounts, BurnKey
from ._histograms import EncodedHistogram, Histograms
from ._summary import BurnRollup, BurnSummary
from ._timeline import FINE_S, HOUR_S, KEPT_S

MAX_REMEMBERED_IDS = 20_000
SETTLE_S = 600
COMPACT_CELLS = 2000


@attrs.define
class _Hour:
    """All that is known of one hour."""

    summed: list[BurnCell] = attrs.field(factory=list)
    rolled: tuple[BurnCell, ...] = ()
    histograms: list[EncodedHistogram] = attrs.field(factory=list)
    rolled_histograms: tuple[EncodedHistogram, ...] = ()
    rolled_at: float | None = None

    def uses_rollup(self) -> bool:
        return _total(self.rolled) > _total(self.summed)


@attrs.define
class BurnHistory:
    """Sums the summaries of all entries by the hour.

    A record is counted once however often it was appended. The rollup of an hour
    counts in place of its summaries where a reader has seen only part of them.
    """

    _hours: dict[int, _Hour] = attrs.field(factory=dict)
    _seen: dict[str, None] = attrs.field(factory=dict)

    def apply(self, record: Record, now: float) -> None:
        """Takes a record; ``now`` is in seconds since the epoch."""
        if record.record_id in self._seen:
            return
        self._seen[record.record_id] = None
        if len(self._seen) > MAX_REMEMBERED_IDS:
            del self._seen[next(iter(self._seen))]
        if isinstance(record.body, BurnSummary):
            self._add_summary(record.body)
        elif isinstance(record.body, BurnRollup):
            self._add_rollup(record.body, now)
        self._forget(now)

    def cells(self) -> tuple[list[BurnCell], list[BurnCell]]:
        """Returns the cells by the minute and the cells by the hour."""
        minutes: list[BurnCell] = []
        hours: list[BurnCell] = []
        for _, hour in sorted(self._hours.items()):
            if hour.uses_rollup():
                hours += hour.rolled
            else:
                minutes += hour.summed
        return minutes, hours

    def histograms(self, since: float) -> list[EncodedHistogram]:
        """Returns the distributions of the hours that begin after ``since``."""
        found: list[EncodedHistogram] = []
        for start, hour in self._hours.items():
            if start >= since:
                rolled = hour.uses_rollup()
                found += hour.rolled_histograms if rolled else hour.histograms
        return found

    def due_rollups(self, now: float, interval_s: float) -> list[BurnRollup]:
        """Returns the rollups of past hours that were not appended for a while."""
        due = []
        for start, hour in sorted(self._hours.items()):
            is_over = start + HOUR_S + SETTLE_S <= now
            is_old = hour.rolled_at is None or hour.rolled_at + interval_s <= now
            if is_over and is_old:
                due.append(self._rollup(start, hour))
        return due

    def _add_summary(self, summary: BurnSummary) -> None:
        for cell in summary.cells:
            self._hour(cell.start).summed.append(cell)
        if summary.cells:
            latest = max(cell.start for cell in summary.cells)
            self._hour(latest).histograms += summary.histograms

    def _add_rollup(self, rollup: BurnRollup, now: float) -> None:
        hour = self._hour(rollup.start)
        hour.rolled_at = now
        if _total(rollup.cells) >= _total(hour.rolled):
            hour.rolled = rollup.cells
            hour.rolled_histograms = rollup.histograms

    def _rollup(self, start: int, hour: _Hour) -> BurnRollup:
        if hour.uses_rollup():
            return BurnRollup(start, hour.rolled, hour.rolled_histograms)
        histograms = Histograms()
        histograms.merge(hour.histograms)
        return BurnRollup(start, merge_cells(hour.summed, start), histograms.encode())

    def _hour(self, start: int) -> _Hour:
        return self._hours.setdefault(start - start % HOUR_S, _Hour())

    def _forget(self, now: float) -> None:
        for start in [s for s in self._hours if s < now - KEPT_S - HOUR_S]:
            del self._hours[start]
        for start, hour in self._hours.items():
            if start < now - FINE_S and len(hour.summed) > COMPACT_CELLS:
                hour.summed = list(merge_cells(hour.summed, start))


def merge_cells(cells: list[BurnCell], start: int) -> tuple[BurnCell, ...]:
    """Returns one cell for each service, workspace and class."""
    sums: dict[BurnKey, BurnCounts] = {}
    for cell in cells:
        key = BurnKey(cell.service, cell.workspace, cell.priority)
        sums.setdefault(key, BurnCounts()).add_cell(cell)
    return tuple(counts.freeze(key, start) for key, counts in sums.items())


def _total(cells: tuple[BurnCell, ...] | list[BurnCell]) -> int:
    return sum(
        sum(cell.good) + sum(item.requests for item in cell.spent) for cell in cells
    )
