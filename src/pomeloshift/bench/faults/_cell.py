"""One cell of the matrix: a step, its faults and the result of a run."""

import gc

import attrs

from ._checker import check
from ._counts import Counts
from ._fault import Fault
from ._history import History
from ._injector import FaultInjector
from ._process import SimProcess
from ._scenario import Scenario
from ._step import Step
from ._world import LONG_RETENTION_S, World, simulated_transports

SHORT_RETENTION_S = 40.0


@attrs.frozen
class Cell:
    """A step and the faults that are injected when the step is reached."""

    step: Step
    faults: tuple[Fault, ...] = ()

    @property
    def name(self) -> str:
        """The cell's name in reports, such as ``"pull: log down + clock step"``."""
        faults = " + ".join(fault.value for fault in self.faults) or "no fault"
        return f"{self.step.value}: {faults}"


@attrs.frozen
class CellResult:
    """The result of one run of a cell.

    ``counts`` holds the violated guarantees. ``reached`` states whether the scenario
    reached the step, and ``took_effect`` whether every fault had an observable effect.
    """

    cell: Cell
    seed: int
    counts: Counts
    reached: bool
    took_effect: bool
    history: History = attrs.field(repr=False, eq=False)

    @property
    def is_ok(self) -> bool:
        """Whether the step was reached, all faults took effect and no guarantee was
        violated.
        """
        return self.reached and self.took_effect and self.counts.total == 0


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Runs one cell; the same seed gives the same result.

    The garbage collector is disabled until the end. Otherwise the result would depend
    on when it closes the coroutines of killed processes.
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
    injectors = [FaultInjector(fault) for fault in cell.faults]

    def inject(process: SimProcess, scenario: Scenario) -> None:
        for injector in injectors:
            injector.inject(process, scenario)

    checks_fencing = Fault.IGNORES_FENCING not in cell.faults
    scenario = Scenario(
        world,
        cell.step,
        inject,
        checks_fencing=checks_fencing,
        has_concurrent_operator=Fault.CONFLICTING_OPERATORS in cell.faults,
    )
    with simulated_transports(world):
        scenario.start()
        scenario.finish()
        if expires:
            scenario.run_past_log_expiry()
        scenario.record_final_state()
    took_effect = all(injector.has_taken_effect() for injector in injectors)
    return CellResult(
        cell, seed, check(history), scenario.reached, took_effect, history
    )
