"""A small workspace beside one that floods the service."""

import attrs

from ..overload._result import OverloadResult, summarise
from ..overload._variant import ONE_QUEUE, OURS, REFUSALS, Variant
from ..overload._world import CAPACITY_PER_S, World

SMALL_LOAD = 0.05
FLOOD_LOADS = (0, 1, 4)
VARIANTS = (REFUSALS, ONE_QUEUE, OURS)
SMALL = "small"
FLOOD = "flood"


@attrs.frozen
class WorkspaceResult:
    """What the small workspace's callers saw beside ``flood_load`` capacities."""

    flood_load: float
    requests: int
    small: OverloadResult


def run_flood(variant: Variant, flood_load: float, seed: int) -> WorkspaceResult:
    """Runs the small workspace beside a flood."""
    rates = {SMALL: SMALL_LOAD * CAPACITY_PER_S}
    if flood_load:
        rates[FLOOD] = flood_load * CAPACITY_PER_S
    totals = World(variant, rates, seed).run()[SMALL]
    return WorkspaceResult(flood_load, totals.requests, summarise(SMALL_LOAD, [totals]))


def run_workspaces(seed: int) -> dict[str, list[WorkspaceResult]]:
    """Runs every variant beside every flood."""
    return {
        variant.name: [run_flood(variant, load, seed) for load in FLOOD_LOADS]
        for variant in VARIANTS
    }
