"""Counts of requests that met (good) or missed (bad) an SLO."""

import attrs

from ._indicator import Indicator, SpendCause


@attrs.frozen
class Spent:
    """The number of requests that missed an objective for one cause."""

    indicator: Indicator
    cause: SpendCause
    requests: int


@attrs.frozen
class BurnCell:
    """The counts of one service, workspace and priority in one span of time.

    ``start`` is in seconds since the epoch. ``good`` has one number for each
    `Indicator`, in the order of the enum.
    """

    start: int
    service: str
    workspace: str
    priority: str
    good: tuple[int, ...]
    spent: tuple[Spent, ...] = ()


@attrs.frozen
class BurnKey:
    """The service, workspace and priority that counts belong to."""

    service: str
    workspace: str
    priority: str


@attrs.define
class BurnCounts:
    """Mutable counts, before they are frozen to a `BurnCell`."""

    good: list[int] = attrs.field(factory=lambda: [0] * len(Indicator))
    bad: dict[tuple[Indicator, SpendCause], int] = attrs.field(factory=dict)

    def add_good(self, indicator: Indicator, requests: int = 1) -> None:
        """Adds requests that met an objective."""
        self.good[_position(indicator)] += requests

    def add_bad(
        self, indicator: Indicator, cause: SpendCause, requests: int = 1
    ) -> None:
        """Adds requests that missed an objective."""
        key = (indicator, cause)
        self.bad[key] = self.bad.get(key, 0) + requests

    def add_cell(self, cell: BurnCell) -> None:
        """Adds the counts of a cell."""
        for position, requests in enumerate(cell.good):
            self.good[position] += requests
        for item in cell.spent:
            self.add_bad(item.indicator, item.cause, item.requests)

    def add(self, other: "BurnCounts") -> None:
        """Adds the counts of ``other``."""
        for position, requests in enumerate(other.good):
            self.good[position] += requests
        for (indicator, cause), requests in other.bad.items():
            self.add_bad(indicator, cause, requests)

    def good_for(self, indicator: Indicator) -> int:
        """Returns the number of requests that met an objective."""
        return self.good[_position(indicator)]

    def bad_for(self, indicator: Indicator) -> dict[SpendCause, int]:
        """Returns the number of requests that missed an objective, by cause."""
        return {
            cause: requests
            for (kind, cause), requests in self.bad.items()
            if kind is indicator
        }

    @property
    def total(self) -> int:
        """The number of good and bad results over all indicators."""
        return sum(self.good) + sum(self.bad.values())

    def freeze(self, key: BurnKey, start: int) -> BurnCell:
        """Returns the counts as a cell that can be stored."""
        return BurnCell(
            start,
            key.service,
            key.workspace,
            key.priority,
            tuple(self.good),
            tuple(
                Spent(indicator, cause, requests)
                for (indicator, cause), requests in self.bad.items()
            ),
        )


_positions = {indicator: position for position, indicator in enumerate(Indicator)}


def _position(indicator: Indicator) -> int:
    return _positions[indicator]
