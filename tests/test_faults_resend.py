import pytest

from pomeloshift.bench.faults import Cell, Fault, Step, run_cell


@pytest.mark.parametrize("seed", [2, 3, 4, 5, 6])
@pytest.mark.parametrize("step", [Step.MID_STREAM, Step.CALL_RUN])
def test_resent_poison_request_brings_down_two_servers_at_most(step, seed):
    result = run_cell(Cell(step, (Fault.POISON_REQUEST,)), seed)
    assert result.struck
    assert result.counts.poisoned == 0
