import itertools

import pytest

from pomeloshift.attempts import (
    CrashRecord,
    QuarantineState,
    SuspectConfig,
    SuspectTracker,
)


@pytest.fixture
def tracker():
    return SuspectTracker(SuspectConfig(quarantine_s=100.0))


def test_second_crash_quarantines_until_expiry(tracker):
    assert tracker.quarantine_state("f", 0.0) is QuarantineState.CLEAR
    tracker.crashed("f", "s1/1", 0.0)
    assert tracker.quarantine_state("f", 0.0) is QuarantineState.SUSPECT
    tracker.crashed("f", "s2/1", 50.0)
    assert tracker.quarantine_state("f", 149.0) is QuarantineState.QUARANTINED
    assert tracker.quarantined_for("f", 149.0) == 1.0
    assert tracker.quarantine_state("f", 150.0) is QuarantineState.CLEAR


def test_one_crash_seen_twice_counts_once(tracker):
    for _ in range(3):
        tracker.crashed("f", "s1/1", 0.0)
    assert tracker.quarantine_state("f", 0.0) is QuarantineState.SUSPECT
    tracker.crashed("f", "s1/2", 0.0)
    assert tracker.quarantine_state("f", 0.0) is QuarantineState.QUARANTINED


def test_complete_response_clears_the_request(tracker):
    tracker.crashed("f", "s1/1", 0.0)
    tracker.finished("f", 1.0)
    assert tracker.quarantine_state("f", 1.0) is QuarantineState.CLEAR
    tracker.crashed("f", "s2/1", 2.0)
    assert tracker.quarantine_state("f", 2.0) is QuarantineState.SUSPECT


def test_servers_that_run_suspects_are_known(tracker):
    tracker.started("f", "s1")
    tracker.started("f", "s1")
    tracker.started("g", "s2")
    assert tracker.servers_with_suspects(0.0) == frozenset()
    tracker.crashed("f", "s9/1", 0.0)
    assert tracker.servers_with_suspects(0.0) == {"s1"}
    tracker.ended("f", "s1")
    assert tracker.servers_running("f") == {"s1"}
    tracker.ended("f", "s1")
    assert tracker.servers_running("f") == frozenset()


def test_records_merge_to_one_state_in_any_order_with_repeats():
    records = (
        CrashRecord("f", frozenset({"s1/1"}), ttl_s=10.0),
        CrashRecord("f", frozenset({"s1/1", "s2/1"}), frozenset({"s1/1"}), 20.0),
        CrashRecord("g", frozenset({"s1/1"}), ttl_s=10.0),
    )
    results = set()
    for permutation in itertools.permutations(records * 2):
        tracker = SuspectTracker()
        tracker.merge(permutation, 0.0)
        results.add(frozenset(tracker.crash_records(0.0)))
    assert len(results) == 1


def test_clearing_reaches_an_entry_that_knows_the_crash(tracker):
    other = SuspectTracker()
    tracker.crashed("f", "s1/1", 0.0)
    other.merge(tracker.take_changes(0.0), 0.0)
    assert other.quarantine_state("f", 0.0) is QuarantineState.SUSPECT
    assert tracker.take_changes(0.0) == ()
    tracker.finished("f", 1.0)
    other.merge(tracker.take_changes(1.0), 1.0)
    assert other.quarantine_state("f", 1.0) is QuarantineState.CLEAR


def test_memory_is_bounded_and_expires():
    tracker = SuspectTracker(SuspectConfig(max_suspects=10, quarantine_s=5.0))
    for n in range(50):
        tracker.crashed(str(n), "s1/1", 0.0)
    assert len(tracker.crash_records(0.0)) == 10
    tracker.expire(5.0)
    assert tracker.crash_records(0.0) == ()
