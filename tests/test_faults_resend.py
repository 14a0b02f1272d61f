import pytest

from pomeloshift.bench.faults import Cell, Fault, Step, run_cell


@pytest.mark.parametrize("seed", [2, 3, 4, 5, 6])
@pytest.mark.parametrize("step", [Step.MID_STREAM, Step.CALL_RUN])
def test_retried_poison_request_crashes_at_most_two_servers(step, seed):
    result = run_cell(Cell(step, (Fault.POISON_REQUEST,)), seed)
    assert result.took_effect
    assert result.counts.poisoned == 0
