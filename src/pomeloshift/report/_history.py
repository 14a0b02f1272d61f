"""The counts of all entries, replayed from their log stream."""

import attrs

from ..log import Record
from ._counts import BurnCell, BurnCounts, BurnKey
from ._histograms import EncodedHistogram, Histograms
from ._summary import BurnRollup, BurnSummary
from ._timeline import HOUR_S, MINUTE_RETENTION_S, RETENTION_S

MAX_REMEMBERED_IDS = 20_000
# Time from the end of an hour until its rollup, in which late summaries can arrive.
ROLLUP_DELAY_S = 600
MAX_UNMERGED_CELLS = 2000


@attrs.define
class _Hour:
    """The summaries and the best rollup of one hour."""

    summary_cells: list[BurnCell] = attrs.field(factory=list)
    rollup_cells: tuple[BurnCell, ...] = ()
    summary_histograms: list[EncodedHistogram] = attrs.field(factory=list)
    rollup_histograms: tuple[EncodedHistogram, ...] = ()
    rolled_up_at: float | None = None

    def uses_rollup(self) -> bool:
        return _total(self.rollup_cells) > _total(self.summary_cells)


@attrs.define
class BurnHistory:
    """Sums the summaries of all entries by the hour.

    A record that was appended more than once counts once. The rollup of an hour
    replaces the hour's summaries if the rollup holds more requests. This happens when
    some of the summaries had expired before they were read.
    """

    _hours: dict[int, _Hour] = attrs.field(factory=dict)
    _seen: dict[str, None] = attrs.field(factory=dict)

    def apply(self, record: Record, now: float) -> None:
        """Applies a record; ``now`` is in seconds since the epoch."""
        if record.record_id in self._seen:
            return
        self._seen[record.record_id] = None
        if len(self._seen) > MAX_REMEMBERED_IDS:
            del self._seen[next(iter(self._seen))]
        if isinstance(record.body, BurnSummary):
            self._add_summary(record.body)
        elif isinstance(record.body, BurnRollup):
            self._add_rollup(record.body, now)
        self._expire(now)

    def cells(self) -> tuple[list[BurnCell], list[BurnCell]]:
        """Returns one-minute cells and one-hour cells, as two lists.

        The first list is for the hours that use summaries, the second for those that
        use a rollup.
        """
        minutes: list[BurnCell] = []
        hours: list[BurnCell] = []
        for _, hour in sorted(self._hours.items()):
            if hour.uses_rollup():
                hours += hour.rollup_cells
            else:
                minutes += hour.summary_cells
        return minutes, hours

    def histograms(self, since: float) -> list[EncodedHistogram]:
        """Returns the histograms of the hours that begin at or after ``since``."""
        found: list[EncodedHistogram] = []
        for start, hour in self._hours.items():
            if start >= since:
                rolled = hour.uses_rollup()
                found += hour.rollup_histograms if rolled else hour.summary_histograms
        return found

    def due_rollups(self, now: float, interval_s: float) -> list[BurnRollup]:
        """Returns the rollups to append: those of hours that ended at least
        `ROLLUP_DELAY_S` ago and whose rollup was not appended in the last
        ``interval_s``.
        """
        due = []
        for start, hour in sorted(self._hours.items()):
            is_over = start + HOUR_S + ROLLUP_DELAY_S <= now
            is_old = hour.rolled_up_at is None or hour.rolled_up_at + interval_s <= now
            if is_over and is_old:
                due.append(self._rollup(start, hour))
        return due

    def _add_summary(self, summary: BurnSummary) -> None:
        for cell in summary.cells:
            self._hour(cell.start).summary_cells.append(cell)
        if summary.cells:
            latest = max(cell.start for cell in summary.cells)
            self._hour(latest).summary_histograms += summary.histograms

    def _add_rollup(self, rollup: BurnRollup, now: float) -> None:
        hour = self._hour(rollup.start)
        hour.rolled_up_at = now
        if _total(rollup.cells) >= _total(hour.rollup_cells):
            hour.rollup_cells = rollup.cells
            hour.rollup_histograms = rollup.histograms

    def _rollup(self, start: int, hour: _Hour) -> BurnRollup:
        if hour.uses_rollup():
            return BurnRollup(start, hour.rollup_cells, hour.rollup_histograms)
        histograms = Histograms()
        histograms.merge(hour.summary_histograms)
        return BurnRollup(
            start, merge_cells(hour.summary_cells, start), histograms.encode()
        )

    def _hour(self, start: int) -> _Hour:
        return self._hours.setdefault(start - start % HOUR_S, _Hour())

    def _expire(self, now: float) -> None:
        for start in [s for s in self._hours if s < now - RETENTION_S - HOUR_S]:
            del self._hours[start]
        for start, hour in self._hours.items():
            if (
                start < now - MINUTE_RETENTION_S
                and len(hour.summary_cells) > MAX_UNMERGED_CELLS
            ):
                hour.summary_cells = list(merge_cells(hour.summary_cells, start))


def merge_cells(cells: list[BurnCell], start: int) -> tuple[BurnCell, ...]:
    """Returns one cell, from ``start``, for each service, workspace and priority."""
    sums: dict[BurnKey, BurnCounts] = {}
    for cell in cells:
        key = BurnKey(cell.service, cell.workspace, cell.priority)
        sums.setdefault(key, BurnCounts()).add_cell(cell)
    return tuple(counts.freeze(key, start) for key, counts in sums.items())


def _total(cells: tuple[BurnCell, ...] | list[BurnCell]) -> int:
    return sum(
        sum(cell.good) + sum(item.requests for item in cell.spent) for cell in cells
    )
