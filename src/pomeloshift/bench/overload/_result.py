"""The measures of an overload bench."""

import attrs

from ..routing._result import quantile
from ._caller import CallerTotals
from ._variant import VARIANTS, Variant
from ._world import CAPACITY_PER_S, SECONDS, World

LOADS = (1, 2, 3, 4)
WORKSPACES = 4


@attrs.frozen
class OverloadResult:
    """``goodput_per_s`` counts requests answered whole and in time."""

    load: float
    goodput_per_s: float
    sends_per_request: float
    wait_p95_s: float
    refused: int
    given_up: int


def run_load(variant: Variant, load: float, seed: int) -> OverloadResult:
    """Runs one variant at ``load`` times the capacity."""
    rate = load * CAPACITY_PER_S / WORKSPACES
    rates = {f"workspace-{number}": rate for number in range(WORKSPACES)}
    totals = World(variant, rates, seed).run()
    return summarise(load, list(totals.values()))


def summarise(load: float, totals: list[CallerTotals]) -> OverloadResult:
    """Returns the measures over several workspaces."""
    requests = sum(each.requests for each in totals)
    waits = sorted(wait for each in totals for wait in each.waits)
    return OverloadResult(
        load,
        sum(each.good for each in totals) / SECONDS,
        sum(each.sends for each in totals) / requests,
        quantile(waits, 0.95),
        sum(each.refused for each in totals),
        sum(each.given_up for each in totals),
    )


def run_all(seed: int) -> dict[str, list[OverloadResult]]:
    """Runs every variant at every load."""
    return {
        variant.name: [run_load(variant, load, seed) for load in LOADS]
        for variant in VARIANTS
    }
