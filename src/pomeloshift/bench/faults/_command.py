"""The command that runs the matrix and prints the result."""

import sys
from typing import Any

import attrs
import msgspec
from loguru import logger

from ._cell import Cell, CellResult, run_cell
from ._counts import Counts
from ._matrix import excluded, pair_cells, single_cells

EXIT_OK = 0
EXIT_VIOLATED = 1


@attrs.frozen
class Summary:
    """The result of a complete run, as printed.

    ``not_reached``, ``not_struck`` and ``broken`` hold names of cells: the step was
    not reached, a fault had no effect, a guarantee was violated.
    """

    seed: int
    cells_run: int
    cells_not_applicable: int
    counts: Counts
    not_reached: tuple[str, ...]
    not_struck: tuple[str, ...]
    broken: tuple[str, ...]

    @property
    def is_ok(self) -> bool:
        """Whether all steps and faults occurred and no guarantee was violated."""
        return not (self.not_reached or self.not_struck or self.broken)


def run_command(seed: int = 1, pairs: bool = False, json: bool = False) -> int:
    """Runs all cells for one seed and returns the exit code.

    ``pairs`` adds the cells with two faults.
    """
    logger.remove()
    cells = single_cells() + (pair_cells() if pairs else [])
    results = [_run(cell, seed, show=not json) for cell in cells]
    summary = summarise(seed, results)
    if json:
        sys.stdout.write(msgspec.json.encode(_fields(summary)).decode() + "\n")
    else:
        _print(summary)
    return EXIT_OK if summary.is_ok else EXIT_VIOLATED


def summarise(seed: int, results: list[CellResult]) -> Summary:
    """Aggregates the results of cells."""
    counts = Counts()
    for result in results:
        counts = counts.plus(result.counts)
    return Summary(
        seed,
        len(results),
        len(excluded()),
        counts,
        tuple(r.cell.name for r in results if not r.reached),
        tuple(r.cell.name for r in results if r.reached and not r.took_effect),
        tuple(r.cell.name for r in results if r.counts.total),
    )


def _run(cell: Cell, seed: int, show: bool) -> CellResult:
    result = run_cell(cell, seed)
    if show and not result.is_ok:
        sys.stdout.write(f"{cell.name}: {_why(result)}\n")
    return result


def _why(result: CellResult) -> str:
    if not result.reached:
        return "the step was not reached"
    if not result.took_effect:
        return "the fault had no effect"
    return _nonzero(result.counts)


def _nonzero(counts: Counts) -> str:
    broken = {name: count for name, count in attrs.asdict(counts).items() if count}
    return " ".join(f"{name}={count}" for name, count in broken.items()) or "none"


def _fields(summary: Summary) -> dict[str, Any]:
    reasons = [
        {"step": e.step.value, "fault": e.fault.value, "reason": e.reason}
        for e in excluded()
    ]
    return attrs.asdict(summary) | {"ok": summary.is_ok, "not_applicable": reasons}


def _print(summary: Summary) -> None:
    lines = [
        f"seed {summary.seed}: {summary.cells_run} cells run, "
        f"{summary.cells_not_applicable} not applicable",
        *_reasons(),
        f"not reached: {len(summary.not_reached)}, "
        f"no effect: {len(summary.not_struck)}, violated: {len(summary.broken)}",
        *(f"{name}: {count}" for name, count in attrs.asdict(summary.counts).items()),
    ]
    sys.stdout.write("\n".join(lines) + "\n")


def _reasons() -> list[str]:
    steps_by_reason: dict[tuple[str, str], list[str]] = {}
    for entry in excluded():
        key = (entry.fault.value, entry.reason)
        steps_by_reason.setdefault(key, []).append(entry.step.value)
    return [
        f"not applicable: {fault} at {', '.join(steps)}: {reason}"
        for (fault, reason), steps in steps_by_reason.items()
    ]
