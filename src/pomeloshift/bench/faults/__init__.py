"""A table of steps and faults over the programs' own code in virtual time."""

from ._cell import Cell, CellResult, run_cell
from ._checker import check
from ._command import run_command
from ._counts import Counts
from ._fault import Fault
from ._step import Step
from ._table import excluded, pair_cells, single_cells

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
