import pytest

from _online_fakes import KEY, WORDS, Fleet, refusal
from pomeloshift.load import make_plan, run_command
from pomeloshift.load._run import LoadRun, LoadTarget
from pomeloshift.load._times import TimeHistogram
from pomeloshift.net import SystemClock


class ManualClock:
    """A clock whose time the test sets."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


@pytest.fixture
def run_load(reactor, run_async):
    def run(prepare=lambda fleet: None, requests=20, **target):
        async def body():
            fleet = Fleet(reactor)
            prepare(fleet)
            load_target = LoadTarget(fleet.url, target.get("key", KEY), "hive-assist")
            try:
                plan = make_plan(1, 200.0, 10.0)[:requests]
                return await LoadRun(load_target, reactor, SystemClock()).run(plan)
            finally:
                await fleet.stop()

        return run_async(body())

    return run


def test_plan_is_the_same_for_a_seed_and_has_the_given_rate():
    plan = make_plan(7, 50.0, 100.0)
    assert plan == make_plan(7, 50.0, 100.0) != make_plan(8, 50.0, 100.0)
    assert 4600 <= len(plan) <= 5400
    assert [r.at for r in plan] == sorted(r.at for r in plan)


def test_complete_responses_and_their_tokens_are_counted(run_load):
    result = run_load()
    assert (result.complete, result.errors) == (20, {})
    assert result.tokens == 20 * len(WORDS)
    assert result.first_token.count == result.whole_answer.count == 20
    assert result.between_tokens.count == 20 * (len(WORDS) - 1)


def test_errors_are_counted_by_code(run_load):
    def refuse(fleet):
        for sidecar in fleet.sidecars:
            sidecar.refusal = refusal()

    assert run_load(refuse, requests=5).errors == {"overloaded": 5}
    assert run_load(key="k1.wrong", requests=3).errors == {"unauthenticated": 3}


def test_times_are_measured_from_when_a_request_was_due(run_async, reactor):
    async def body():
        fleet = Fleet(reactor)
        clock = ManualClock()
        load = LoadRun(LoadTarget(fleet.url, KEY, "hive-assist"), reactor, clock)
        plan = make_plan(1, 1.0, 100.0)[:1]
        clock.now = plan[0].at + 5.0
        await load._send(plan[0], plan[0].at)
        await fleet.stop()
        return load._tally.result(1, 0.0)

    result = run_async(body())
    assert 4.9 <= result.first_token.max_s <= 5.1
    assert 4.9 <= result.late.max_s <= 5.1


def test_times_are_recorded_to_three_significant_digits():
    times = TimeHistogram()
    for n in range(1, 1001):
        times.record(n / 1000)
    summary = times.summary()
    assert summary.p50_s == pytest.approx(0.5, rel=0.002)
    assert summary.p99_s == pytest.approx(0.99, rel=0.002)


@pytest.mark.parametrize(
    "arguments",
    [
        {"target": "entry:80"},
        {"rate": 0},
        {"seconds": -1},
        {"key": ""},
        {"model": ""},
    ],
)
def test_error_names_the_invalid_argument(arguments, capsys):
    valid = {"target": "http://h:1", "key": KEY, "model": "m"}
    assert run_command(**{**valid, **arguments}) == 2
    assert f"--{next(iter(arguments))}" in capsys.readouterr().err
