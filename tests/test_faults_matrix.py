import pytest

from pomeloshift.bench.faults import (
    Cell,
    Fault,
    Step,
    excluded,
    pair_cells,
    run_cell,
    single_cells,
)

SEED = 1
PAIR_SEED = 7
PAIRS_IN_CI = 60


def cell_id(cell):
    return cell.name.replace(" ", "-").replace(":", "")


def sampled_pairs():
    """Returns pairs at even intervals over all pair cells."""
    pairs = pair_cells()
    return pairs[PAIR_SEED :: len(pairs) // PAIRS_IN_CI]


@pytest.fixture(autouse=True)
def quiet():
    from loguru import logger

    logger.remove()


def check_cell(cell, seed):
    result = run_cell(cell, seed)
    assert result.reached, "the step was not reached"
    assert result.took_effect, "the fault had no effect"
    assert result.counts.total == 0, (result.counts, result.history.unexpected[:3])


@pytest.mark.parametrize("cell", single_cells(), ids=cell_id)
def test_guarantees_hold_under_a_single_fault(cell):
    check_cell(cell, SEED)


@pytest.mark.parametrize("cell", sampled_pairs(), ids=cell_id)
def test_guarantees_hold_under_two_faults(cell):
    check_cell(cell, SEED)


def test_matrix_has_every_step_and_fault_once():
    cells = single_cells()
    exclusions = excluded()
    assert len(cells) == len(Step) * (1 + len(Fault)) - len(exclusions)
    assert len({cell.name for cell in cells}) == len(cells)
    assert {cell.step for cell in cells} == set(Step)
    assert {fault for cell in cells for fault in cell.faults} == set(Fault)
    assert all(entry.reason for entry in exclusions)


def test_same_seed_gives_the_same_history():
    cell = Cell(Step.MID_STREAM, (Fault.INSTANCE_LOST,))
    first, second = (run_cell(cell, 5).history for _ in range(2))
    assert first == second
    assert first != run_cell(cell, 6).history
