import pytest

from pomeloshift.attempts import (
    AttemptRegistry,
    NotRunningError,
    OpenOutcome,
    RegistryConfig,
)
from pomeloshift.errors import ErrorCode, ErrorReport, Ran
from pomeloshift.wire import AttemptRequest


def make_request(attempt_id="a", **fields):
    return AttemptRequest(
        attempt_id, "r", "w", "m", "POST", "/x", b"", 1, 1, 5.0, **fields
    )


@pytest.fixture
def registry():
    return AttemptRegistry(incarnation=1)


def test_repeated_request_joins_and_resumes_at_its_sequence(registry):
    assert registry.open(make_request(), 0.0).kind is OpenOutcome.STARTED
    registry.append("a", b"0", 1)
    registry.append("a", b"1", 1)
    assert registry.open(make_request(next_sequence=1), 1.0).kind is OpenOutcome.JOINED
    last = registry.finish("a")
    assert last.total == 3
    frames = registry.frames_from("a", 1)
    assert [f.payload for f in frames] == [b"1", b""]
    assert frames[-1] == last


def test_unknown_attempt_is_refused_after_a_join_only_request(registry):
    asked = registry.open(make_request(join_only=True, incarnation=1), 0.0)
    assert (asked.error.code, asked.error.ran) == (ErrorCode.ATTEMPT_UNKNOWN, Ran.NO)
    late = registry.open(make_request(), 1.0)
    assert (late.kind, late.error.ran) == (OpenOutcome.REFUSED, Ran.NO)


@pytest.mark.parametrize("incarnation", [0, 2])
def test_unknown_attempt_of_another_incarnation_may_have_run(registry, incarnation):
    asked = registry.open(make_request(join_only=True, incarnation=incarnation), 0.0)
    assert asked.error.ran is Ran.UNKNOWN


def test_unknown_attempt_is_not_started_in_the_middle_of_its_response(registry):
    opened = registry.open(make_request(next_sequence=3), 0.0)
    assert (opened.kind, opened.error.ran) == (OpenOutcome.REFUSED, Ran.UNKNOWN)
    assert registry.running == ()


def test_attempt_whose_id_cannot_be_refused_is_not_reported_as_not_run():
    registry = AttemptRegistry(RegistryConfig(max_ids=2), incarnation=1)
    outcomes = [
        registry.open(
            make_request(str(n), join_only=True, incarnation=1), 0.0
        ).error.ran
        for n in range(3)
    ]
    assert outcomes == [Ran.NO, Ran.NO, Ran.UNKNOWN]


def test_abandoned_attempt_is_cancelled_and_not_run_again(registry):
    registry.open(make_request(), 0.0)
    assert registry.abandon("a", 1.0)
    assert not registry.abandon("a", 1.0)
    again = registry.open(make_request(), 2.0)
    assert (again.kind, again.error.ran) == (OpenOutcome.REFUSED, Ran.YES)
    with pytest.raises(NotRunningError):
        registry.append("a", b"late")


def test_abandon_that_overtakes_its_request_prevents_the_run(registry):
    assert not registry.abandon("a", 0.0)
    assert registry.open(make_request(), 1.0).kind is OpenOutcome.REFUSED


def test_ended_attempt_is_joined_until_it_expires(registry):
    registry.open(make_request(), 0.0)
    registry.fail("a", ErrorReport(ErrorCode.OVERLOADED, "", Ran.NO))
    registry.expire(1.0)
    assert registry.open(make_request(), 30.9).kind is OpenOutcome.JOINED
    registry.expire(31.0)
    assert registry.open(make_request(), 32.0).error.ran is Ran.YES
    registry.expire(32.0 + 600.0)
    assert registry.open(make_request(), 640.0).kind is OpenOutcome.STARTED


def test_memory_of_ended_and_of_long_attempts_is_bounded():
    cfg = RegistryConfig(max_ended_bytes=100, max_attempt_bytes=60)
    registry = AttemptRegistry(cfg)
    for n in range(10):
        registry.open(make_request(str(n)), 0.0)
        for _ in range(10):
            registry.append(str(n), b"x" * 10)
        assert len(registry.frames_from(str(n), 0)) == 6
        registry.finish(str(n))
    held = [registry.frames_from(str(n), 0) for n in range(10)]
    assert sum(len(f.payload) for frames in held for f in frames) <= 100
    refused = registry.open(make_request("0"), 1.0)
    assert refused.error.ran is Ran.YES


def test_sidecar_runs_one_suspect_at_a_time_and_bounds_running_attempts():
    registry = AttemptRegistry(RegistryConfig(max_running=2))
    assert registry.open(make_request("a", alone=True), 0.0).kind is OpenOutcome.STARTED
    second = registry.open(make_request("b", alone=True), 0.0)
    assert (second.error.code, second.error.ran) == (ErrorCode.OVERLOADED, Ran.NO)
    assert registry.open(make_request("c"), 0.0).kind is OpenOutcome.STARTED
    assert registry.open(make_request("d"), 0.0).error.ran is Ran.NO
    registry.finish("a")
    assert registry.open(make_request("b", alone=True), 0.0).kind is OpenOutcome.STARTED
