import json

import pytest

from pomeloshift.bench.overload import NO_LIMITS, OURS, run_command, run_load
from pomeloshift.bench.overload._simulation import CAPACITY_PER_S

MIN_GOODPUT_SHARE = 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_goodput_stays_flat_up_to_four_times_the_capacity(seed):
    at_capacity = run_load(OURS, 1, seed)
    for load in (2, 4):
        overloaded = run_load(OURS, load, seed)
        assert overloaded.goodput_per_s >= MIN_GOODPUT_SHARE * at_capacity.goodput_per_s
    assert at_capacity.goodput_per_s >= MIN_GOODPUT_SHARE * CAPACITY_PER_S


def test_goodput_collapses_without_limits():
    overloaded = run_load(NO_LIMITS, 4, 1).goodput_per_s
    assert overloaded < MIN_GOODPUT_SHARE * run_load(NO_LIMITS, 1, 1).goodput_per_s


def test_nothing_is_refused_below_the_capacity():
    assert run_load(OURS, 0.8, 1).refused == 0


def test_command_prints_json(capsys, monkeypatch):
    monkeypatch.setattr("pomeloshift.bench.overload._result.LOADS", (0.2,))
    assert run_command(seed=1, json=True) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["variants"]["ours"][0]["given_up"] == 0
