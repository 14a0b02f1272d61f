import json

import pytest

from pomeloshift.bench.routing import SCENARIOS, run_all, run_command
from pomeloshift.config import LinkConfig

DURATION_S = 60.0
FIRST_TOKEN_TARGET_S = 0.7
BASELINES = ("random", "round_robin", "least_reported")
BURST_ALLOWANCE_S = 2.0


@pytest.fixture(scope="module", params=[1, 2, 3])
def seed(request):
    return request.param


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_router_is_never_behind_a_baseline(scenario, seed):
    results = run_all(seed, scenario)
    ours = results["ours"]
    assert ours.requests == results["random"].requests
    for name in BASELINES:
        assert ours.wait_p95_s <= results[name].wait_p95_s
        assert ours.wait_p99_s <= results[name].wait_p99_s
        assert ours.prefix_hit_rate >= results[name].prefix_hit_rate
    if scenario.load <= 0.6 and scenario.hot_region_share == 0.5:
        assert ours.wait_p95_s <= FIRST_TOKEN_TARGET_S
    link = LinkConfig()
    allowed_s = DURATION_S + BURST_ALLOWANCE_S
    both_ways = 2 * link.bytes_per_s * link.online_share * allowed_s
    assert ours.cross_region_bytes <= both_ways


def test_same_seed_gives_the_same_figures():
    assert run_all(5, SCENARIOS[0]) == run_all(5, SCENARIOS[0])


def test_command_prints_json(capsys, monkeypatch):
    monkeypatch.setattr("pomeloshift.bench.routing._command.SCENARIOS", SCENARIOS[:1])
    assert run_command(seed=1, json=True) == 0
    printed = json.loads(capsys.readouterr().out)
    rules = printed["scenarios"][SCENARIOS[0].name]
    assert set(rules) == {*BASELINES, "ours"}
