"""The measures of a routing bench."""

from statistics import fmean

import attrs


@attrs.frozen
class RoutingResult:
    """Waits are times to the first token in seconds.

    ``imbalance`` is the mean over time of the highest load of a region's servers
    minus their mean load, in shares of a server's capacity.
    """

    requests: int
    wait_p50_s: float
    wait_p95_s: float
    wait_p99_s: float
    imbalance: float
    prefix_hit_rate: float
    cross_region_bytes: int


@attrs.define
class Samples:
    """Collects what a run shows."""

    waits: list[float] = attrs.field(factory=list)
    hits: int = 0
    imbalances: list[float] = attrs.field(factory=list)
    cross_region_bytes: int = 0

    def add(self, wait_s: float, hit: bool) -> None:
        """Adds a request that got its first token."""
        self.waits.append(wait_s)
        self.hits += hit

    def add_loads(self, loads: list[float]) -> None:
        """Adds the loads of one region at one time."""
        self.imbalances.append(max(loads) - fmean(loads))

    def result(self) -> RoutingResult:
        """Returns the measures of all that was added."""
        waits = sorted(self.waits)
        return RoutingResult(
            len(waits),
            quantile(waits, 0.5),
            quantile(waits, 0.95),
            quantile(waits, 0.99),
            fmean(self.imbalances),
            self.hits / len(waits),
            self.cross_region_bytes,
        )


def quantile(ordered: list[float], share: float) -> float:
    """Returns the value that ``share`` of the ordered values do not exceed."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
