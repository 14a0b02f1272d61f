"""One cell of the table: a step, its faults and what came of it."""

import gc

import attrs

from ._checker import check
from ._counts import Counts
from ._fault import Fault
from ._history import History
from ._process import SimProcess
from ._scenario import Scenario
from ._step import Step
from ._strike import Striker
from ._world import LONG_RETENTION_S, World, carriers

SHORT_RETENTION_S = 40.0


@attrs.frozen
class Cell:
    """A step and the faults that strike when it is reached."""

    step: Step
    faults: tuple[Fault, ...] = ()

    @property
    def name(self) -> str:
        """The cell's name in reports."""
        faults = " + ".join(fault.value for fault in self.faults) or "no fault"
        return f"{self.step.value}: {faults}"


@attrs.frozen
class CellResult:
    """The broken promises of a cell, and whether its faults really struck."""

    cell: Cell
    seed: int
    counts: Counts
    reached: bool
    struck: bool
    history: History = attrs.field(repr=False, eq=False)

    @property
    def is_good(self) -> bool:
        """Whether the cell was what it claims to be and broke no promise."""
        return self.reached and self.struck and self.counts.total == 0


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Runs one cell; the same seed gives the same result.

    The garbage collector waits until the end: the moment at which it ends coroutines
    of lost processes must not decide what happens.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _run(cell, seed)
    finally:
        gc.collect()
        if was_enabled:
            gc.enable()


def _run(cell: Cell, seed: int) -> CellResult:
    history = History()
    expires = Fault.LOG_EXPIRY in cell.faults
    retention_s = SHORT_RETENTION_S if expires else LONG_RETENTION_S
    world = World(seed, history, retention_s)
    strikers = [Striker(fault) for fault in cell.faults]

    def strike(process: SimProcess, scenario: Scenario) -> None:
        for striker in strikers:
            striker.strike(process, scenario)

    checks_fencing = Fault.IGNORES_FENCING not in cell.faults
    scenario = Scenario(
        world,
        cell.step,
        strike,
        checks_fencing=checks_fencing,
        has_rival=Fault.CONFLICTING_OPERATORS in cell.faults,
    )
    with carriers(world):
        scenario.start()
        scenario.finish()
        if expires:
            scenario.outlive_the_log()
        scenario.write_down_end()
    struck = all(striker.has_struck() for striker in strikers)
    return CellResult(cell, seed, check(history), scenario.reached, struck, history)
