import json

import pytest

from pomeloshift.batch import DispatchOrder
from pomeloshift.bench.fairness import run_command, run_flood
from pomeloshift.bench.fairness._jobs import JobSimulation
from pomeloshift.bench.overload import ONE_QUEUE, OURS

FIRST_TOKEN_TARGET_S = 0.7
MIN_GOODPUT_SHARE = 0.9
SMALL_JOB_RATIO = 1.2
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_flood_of_one_workspace_does_not_starve_a_small_one(seed):
    alone = run_flood(OURS, 0, seed).small
    beside = run_flood(OURS, 4, seed).small
    assert beside.goodput_per_s >= MIN_GOODPUT_SHARE * alone.goodput_per_s
    assert beside.wait_p95_s <= FIRST_TOKEN_TARGET_S


def test_flood_starves_a_small_workspace_in_one_shared_queue():
    alone = run_flood(ONE_QUEUE, 0, 1).small
    beside = run_flood(ONE_QUEUE, 4, 1).small
    assert beside.goodput_per_s < MIN_GOODPUT_SHARE * alone.goodput_per_s


@pytest.mark.parametrize("seed", SEEDS)
def test_small_job_with_an_earlier_deadline_is_not_starved_by_a_huge_one(seed):
    alone_s = JobSimulation(DispatchOrder(), seed).run(with_huge=False)
    beside_s = JobSimulation(DispatchOrder(), seed).run(with_huge=True)
    assert beside_s <= SMALL_JOB_RATIO * alone_s


def test_command_prints_json(capsys, monkeypatch):
    for name, value in (("FLOOD_LOADS", (0,)), ("VARIANTS", (OURS,))):
        monkeypatch.setattr(f"pomeloshift.bench.fairness._workspaces.{name}", value)
    monkeypatch.setattr("pomeloshift.bench.fairness._jobs.HUGE_ITEMS", 500)
    assert run_command(seed=1, json=True) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["jobs"]["ours"]["ratio"] >= 1.0
    assert printed["workspaces"]["ours"][0]["small"]["refused"] == 0
