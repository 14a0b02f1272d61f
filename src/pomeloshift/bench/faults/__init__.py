"""A fault-injection matrix: processing steps by faults, in virtual time.

Each cell runs the production code of entries and sidecars on simulated processes,
networks and clocks, injects its faults at its step and counts violated guarantees.
"""

from ._cell import Cell, CellResult, run_cell
from ._checker import check
from ._command import run_command
from ._counts import Counts
from ._fault import Fault
from ._matrix import excluded, pair_cells, single_cells
from ._step import Step

__all__ = [
    "Cell",
    "CellResult",
    "Counts",
    "Fault",
    "Step",
    "check",
    "excluded",
    "pair_cells",
    "run_cell",
    "run_command",
    "single_cells",
]
