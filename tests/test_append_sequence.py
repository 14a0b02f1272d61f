"""States of an append, and the writer that a store loses and refuses calls of."""

import pytest

from _append_machine import AppendMachine
from pomeloshift.appends import AppendSequence, AppendState, CallOutcome, Step
from pomeloshift.errors import Ran

NO_RESPONSE, REFUSED = CallOutcome.NO_RESPONSE, CallOutcome.REFUSED


@pytest.fixture
def unknown():
    sequence = AppendSequence()
    sequence.begin()
    sequence.end(NO_RESPONSE)
    assert sequence.state is AppendState.UNKNOWN
    return sequence


@pytest.mark.parametrize("outcome", [REFUSED, CallOutcome.OUT_OF_ORDER])
def test_refused_repeat_leaves_the_append_unknown_until_a_read_behind_a_fence(
    unknown, outcome
):
    """Counting the refusal as final let the number be used for other records."""
    assert unknown.begin() is Step.SEND
    unknown.end(outcome)
    for fence_outcome in (NO_RESPONSE, REFUSED, CallOutcome.NOT_NOW, CallOutcome.DONE):
        assert unknown.begin() is Step.FENCE
        assert (unknown.state, unknown.epoch) == (AppendState.UNKNOWN, 2)
        unknown.end(fence_outcome)
    assert unknown.begin() is Step.READ
    unknown.end(CallOutcome.NOT_NOW)
    assert unknown.begin() is Step.READ
    unknown.settle(False)
    assert unknown.take() is False
    assert (unknown.epoch, unknown.number) == (2, 1)


@pytest.mark.parametrize("outcome", [NO_RESPONSE, CallOutcome.NOT_NOW])
def test_unknown_append_is_repeated_under_its_number(unknown, outcome):
    for each in (outcome, CallOutcome.DONE):
        assert unknown.begin() is Step.SEND
        assert (unknown.epoch, unknown.number) == (1, 0)
        unknown.end(each)
    assert unknown.take() is True
    assert unknown.number == 1


def test_first_call_that_is_refused_is_settled_and_its_number_free():
    sequence = AppendSequence()
    sequence.begin()
    sequence.end(REFUSED)
    assert sequence.take() is False
    assert (sequence.state, sequence.number) == (AppendState.FREE, 0)


@pytest.mark.parametrize("late", [2.5, 6.0])
@pytest.mark.parametrize("refusal", ["full", "malformed", "out of order"])
def test_job_refused_as_not_run_never_runs_and_the_next_one_is_not_lost(late, refusal):
    """The first got an error that says "not run" and ran; the next got its offset."""
    machine = AppendMachine()
    machine.store.fates = [late, refusal]
    machine.append(at=0, count=1, has_removal=False, timeout_s=4.0)
    machine.advance(3.0)
    machine.append(at=0, count=2, has_removal=False, timeout_s=4.0)
    machine.advance(7.0)
    first, second = machine.told
    assert first.outcome.ran is Ran.NO
    assert isinstance(second.outcome, int)
    machine.teardown()


def test_caller_of_an_unknown_append_is_told_so_at_its_deadline():
    machine = AppendMachine()
    machine.store.fates = ["lost before", "full", *["full"] * 20]
    machine.append(at=0, count=1, has_removal=False, timeout_s=1.6)
    machine.append(at=0, count=1, has_removal=False, timeout_s=1.6)
    machine.advance(3.0)
    first, queued = machine.told
    assert first.outcome.ran is Ran.UNKNOWN
    # It was never sent.
    assert queued.outcome.ran is Ran.NO
    machine.teardown()
