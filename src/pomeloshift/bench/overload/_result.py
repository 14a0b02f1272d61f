"""The results of an overload bench."""

import attrs

from ..routing._result import quantile
from ._caller import CallerTotals
from ._simulation import CAPACITY_PER_S, DURATION_S, Simulation
from ._variant import VARIANTS, Variant

LOADS = (1, 2, 3, 4)
WORKSPACES = 4


@attrs.frozen
class OverloadResult:
    """The result of one variant at ``load`` times the capacity.

    ``goodput_per_s`` counts requests with a complete response in time. ``wait_p95_s``
    is the time to the first token, ``refused`` counts sends that were rejected and
    ``given_up`` requests that failed after the last retry.
    """

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
    totals = Simulation(variant, rates, seed).run()
    return summarise(load, list(totals.values()))


def summarise(load: float, totals: list[CallerTotals]) -> OverloadResult:
    """Returns the result over the counters of several workspaces."""
    requests = sum(each.requests for each in totals)
    waits = sorted(wait for each in totals for wait in each.waits)
    return OverloadResult(
        load,
        sum(each.good for each in totals) / DURATION_S,
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
