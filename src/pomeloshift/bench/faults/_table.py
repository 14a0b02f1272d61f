"""All cells, those that cannot be included with the reason."""

from itertools import combinations

import attrs

from ._applicable import reason_against
from ._cell import Cell
from ._fault import Fault
from ._step import Step


@attrs.frozen
class Excluded:
    """A step and a fault that cannot strike there."""

    step: Step
    fault: Fault
    reason: str


def single_cells() -> list[Cell]:
    """Returns every step without a fault and with each fault that can strike."""
    cells = []
    for step in Step:
        cells.append(Cell(step))
        cells += [Cell(step, (fault,)) for fault in _faults_at(step)]
    return cells


def pair_cells() -> list[Cell]:
    """Returns every step with each two faults, and with each fault twice."""
    cells = []
    for step in Step:
        faults = _faults_at(step)
        cells += [Cell(step, pair) for pair in combinations(faults, 2)]
    return cells


def excluded() -> list[Excluded]:
    """Returns the cells that are left out."""
    return [
        Excluded(step, fault, reason)
        for step in Step
        for fault in Fault
        if (reason := reason_against(step, fault)) is not None
    ]


def _faults_at(step: Step) -> list[Fault]:
    return [fault for fault in Fault if reason_against(step, fault) is None]
