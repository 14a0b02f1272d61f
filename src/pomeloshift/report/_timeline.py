"""Counts by time: by the minute for recent hours, by the hour before them."""

import attrs

from ._counts import BurnCell, BurnCounts, BurnKey

MINUTE_S = 60
HOUR_S = 3600
RETENTION_S = 72 * HOUR_S
MINUTE_RETENTION_S = 7 * HOUR_S


@attrs.define
class Timeline:
    """Sums cells by the minute, and by the hour once they are old.

    Minutes are retained for seven hours, longer than the six-hour window. `compact`
    merges older minutes into hours and drops hours older than three days. Times are
    in seconds since the epoch.
    """

    _minutes: dict[int, dict[BurnKey, BurnCounts]] = attrs.field(factory=dict)
    _hours: dict[int, dict[BurnKey, BurnCounts]] = attrs.field(factory=dict)

    def add(self, cell: BurnCell) -> None:
        """Adds the counts of a cell that covers at most one minute."""
        start = cell.start - cell.start % MINUTE_S
        self._counts(self._minutes, start, _key_of(cell)).add_cell(cell)

    def add_hour(self, cell: BurnCell) -> None:
        """Adds the counts of a cell that covers a whole hour."""
        start = cell.start - cell.start % HOUR_S
        self._counts(self._hours, start, _key_of(cell)).add_cell(cell)

    def counts(self, key: BurnKey, start: int) -> BurnCounts:
        """Returns the mutable counts of the minute that contains ``start``."""
        return self._counts(self._minutes, start - start % MINUTE_S, key)

    def compact(self, now: float) -> None:
        """Merges old minutes into hours and drops old hours."""
        for start in [s for s in self._minutes if s < now - MINUTE_RETENTION_S]:
            for key, counts in self._minutes.pop(start).items():
                self._counts(self._hours, start - start % HOUR_S, key).add(counts)
        for start in [s for s in self._hours if s < now - RETENTION_S - HOUR_S]:
            del self._hours[start]

    def window(self, since: float, until: float) -> dict[BurnKey, BurnCounts]:
        """Returns the sums of all spans in the window from ``since`` to ``until``.

        A span belongs to the window if its middle lies inside.
        """
        sums: dict[BurnKey, BurnCounts] = {}
        for spans, width in ((self._minutes, MINUTE_S), (self._hours, HOUR_S)):
            for start, by_key in spans.items():
                if since <= start + width / 2 <= until:
                    for key, counts in by_key.items():
                        sums.setdefault(key, BurnCounts()).add(counts)
        return sums

    def cells(self) -> list[BurnCell]:
        """Returns the counts that are kept by the minute."""
        return [
            counts.freeze(key, start)
            for start, by_key in sorted(self._minutes.items())
            for key, counts in by_key.items()
        ]

    @property
    def first_start(self) -> int | None:
        """The start of the oldest span, or `None` if there is none."""
        return min([*self._minutes, *self._hours], default=None)

    def _counts(
        self, spans: dict[int, dict[BurnKey, BurnCounts]], start: int, key: BurnKey
    ) -> BurnCounts:
        by_key = spans.setdefault(start, {})
        counts = by_key.get(key)
        if counts is None:
            counts = by_key[key] = BurnCounts()
        return counts


def _key_of(cell: BurnCell) -> BurnKey:
    return BurnKey(cell.service, cell.workspace, cell.priority)
