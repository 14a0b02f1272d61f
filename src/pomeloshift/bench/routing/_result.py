"""The results of a routing bench."""

from statistics import fmean

import attrs


@attrs.frozen
class RoutingResult:
    """The result of one rule; waits are times to the first token in seconds.

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
    """Collects the samples of one run; waits in seconds."""

    waits: list[float] = attrs.field(factory=list)
    hits: int = 0
    imbalances: list[float] = attrs.field(factory=list)
    cross_region_bytes: int = 0

    def add(self, wait_s: float, hit: bool) -> None:
        """Adds a request with a first token; ``hit`` says if its prefix was cached."""
        self.waits.append(wait_s)
        self.hits += hit

    def add_loads(self, loads: list[float]) -> None:
        """Adds one sample of the loads of a region's servers."""
        self.imbalances.append(max(loads) - fmean(loads))

    def result(self) -> RoutingResult:
        """Returns the result over all samples."""
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
    """Returns the nearest-rank quantile of sorted values; 0 without values."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
