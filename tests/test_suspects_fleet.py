import pytest

from _suspect_fleet import SuspectFleet

SEEDS = range(20)
MAX_CRASHES = 2
SECONDS = 120.0


@pytest.mark.parametrize("seed", SEEDS)
def test_poison_crashes_at_most_two_servers_and_harmless_requests_finish(seed):
    fleet = SuspectFleet(seed)
    fleet.send_harmless(40)
    fleet.send_poison(at=1.5)
    fleet.loop.run(SECONDS)
    assert 1 <= fleet.crashes <= MAX_CRASHES
    assert fleet.ends == [None] * 40


@pytest.mark.parametrize("seed", SEEDS)
def test_poison_sent_again_while_it_runs_crashes_at_most_two_servers(seed):
    fleet = SuspectFleet(seed)
    fleet.send_harmless(20)
    fleet.send_poison(at=1.5, crash_after_s=2.0)
    fleet.send_poison(at=2.0, crash_after_s=2.0)
    fleet.send_poison(at=6.0, crash_after_s=2.0)
    fleet.loop.run(SECONDS)
    assert 1 <= fleet.crashes <= MAX_CRASHES
    assert fleet.ends == [None] * 20


@pytest.mark.parametrize("seed", SEEDS)
def test_two_poisons_at_once_crash_at_most_two_servers_each(seed):
    fleet = SuspectFleet(seed)
    fleet.send_harmless(30)
    fleet.send_poison(at=1.5)
    fleet.send_poison(at=1.7, body=b"poison-2", crash_after_s=1.0)
    fleet.loop.run(SECONDS)
    assert 1 <= fleet.crashes <= 2 * MAX_CRASHES
