"""Counts of requests that met or missed objectives."""

import attrs

from ._indicator import Indicator, SpendCause


@attrs.frozen
class Spent:
    """How many requests missed an objective for one cause."""

    indicator: Indicator
    cause: SpendCause
    requests: int


@attrs.frozen
class BurnCell:
    """The counts of one service, workspace and class in one span of time.

    ``start`` is in seconds since the epoch and ``good`` has one number for each
    `Indicator` in their order.
    """

    start: int
    service: str
    workspace: str
    priority: str
    good: tuple[int, ...]
    spent: tuple[Spent, ...] = ()


@attrs.frozen
class BurnKey:
    """What counts are kept for."""

    service: str
    workspace: str
    priority: str


@attrs.define
class BurnCounts:
    """Counts that can still grow."""

    good: list[int] = attrs.field(factory=lambda: [0] * len(Indicator))
    spent: dict[tuple[Indicator, SpendCause], int] = attrs.field(factory=dict)

    def add_good(self, indicator: Indicator, requests: int = 1) -> None:
        """Counts requests that met an objective."""
        self.good[_position(indicator)] += requests

    def add_spent(
        self, indicator: Indicator, cause: SpendCause, requests: int = 1
    ) -> None:
        """Counts requests that missed an objective."""
        key = (indicator, cause)
        self.spent[key] = self.spent.get(key, 0) + requests

    def add_cell(self, cell: BurnCell) -> None:
        """Adds the counts of a cell."""
        for position, requests in enumerate(cell.good):
            self.good[position] += requests
        for item in cell.spent:
            self.add_spent(item.indicator, item.cause, item.requests)

    def add(self, other: "BurnCounts") -> None:
        """Adds other counts."""
        for position, requests in enumerate(other.good):
            self.good[position] += requests
        for (indicator, cause), requests in other.spent.items():
            self.add_spent(indicator, cause, requests)

    def good_for(self, indicator: Indicator) -> int:
        """Returns how many requests met an objective."""
        return self.good[_position(indicator)]

    def spent_for(self, indicator: Indicator) -> dict[SpendCause, int]:
        """Returns how many requests missed an objective, by cause."""
        return {
            cause: requests
            for (kind, cause), requests in self.spent.items()
            if kind is indicator
        }

    @property
    def total(self) -> int:
        """The number of all verdicts."""
        return sum(self.good) + sum(self.spent.values())

    def freeze(self, key: BurnKey, start: int) -> BurnCell:
        """Returns the counts in the form that is stored."""
        return BurnCell(
            start,
            key.service,
            key.workspace,
            key.priority,
            tuple(self.good),
            tuple(
                Spent(indicator, cause, requests)
                for (indicator, cause), requests in self.spent.items()
            ),
        )


_positions = {indicator: position for position, indicator in enumerate(Indicator)}


def _position(indicator: Indicator) -> int:
    return _positions[indicator]
