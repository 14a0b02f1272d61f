"""A small workspace beside another one that overloads the service."""

import attrs

from ..overload._result import OverloadResult, summarise
from ..overload._simulation import CAPACITY_PER_S, Simulation
from ..overload._variant import ONE_QUEUE, OURS, REFUSALS, Variant

SMALL_LOAD = 0.05
FLOOD_LOADS = (0, 1, 4)
VARIANTS = (REFUSALS, ONE_QUEUE, OURS)
SMALL = "small"
FLOOD = "flood"


@attrs.frozen
class WorkspaceResult:
    """The result of the small workspace.

    The other workspace sends ``flood_load`` times the capacity.
    """

    flood_load: float
    requests: int
    small: OverloadResult


def run_flood(variant: Variant, flood_load: float, seed: int) -> WorkspaceResult:
    """Runs the small workspace beside one that sends ``flood_load`` capacities."""
    rates = {SMALL: SMALL_LOAD * CAPACITY_PER_S}
    if flood_load:
        rates[FLOOD] = flood_load * CAPACITY_PER_S
    totals = Simulation(variant, rates, seed).run()[SMALL]
    return WorkspaceResult(flood_load, totals.requests, summarise(SMALL_LOAD, [totals]))


def run_workspaces(seed: int) -> dict[str, list[WorkspaceResult]]:
    """Runs every variant at every load of the other workspace."""
    return {
        variant.name: [run_flood(variant, load, seed) for load in FLOOD_LOADS]
        for variant in VARIANTS
    }
