"""The cells of the matrix, and the excluded ones with the reason."""

from itertools import combinations

import attrs

from ._applicable import exclusion_reason
from ._cell import Cell
from ._fault import Fault
from ._step import Step


@attrs.frozen
class Excluded:
    """A fault that does not apply at a step, with the reason."""

    step: Step
    fault: Fault
    reason: str


def single_cells() -> list[Cell]:
    """Returns each step without a fault and with each applicable fault."""
    cells = []
    for step in Step:
        cells.append(Cell(step))
        cells += [Cell(step, (fault,)) for fault in _faults_at(step)]
    return cells


def pair_cells() -> list[Cell]:
    """Returns each step with each pair of different applicable faults."""
    cells = []
    for step in Step:
        faults = _faults_at(step)
        cells += [Cell(step, pair) for pair in combinations(faults, 2)]
    return cells


def excluded() -> list[Excluded]:
    """Returns the combinations that are excluded from the matrix."""
    return [
        Excluded(step, fault, reason)
        for step in Step
        for fault in Fault
        if (reason := exclusion_reason(step, fault)) is not None
    ]


def _faults_at(step: Step) -> list[Fault]:
    return [fault for fault in Fault if exclusion_reason(step, fault) is None]
