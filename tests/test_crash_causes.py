"""Which prompt part causes crashes that take all requests of an engine with them."""

import pytest

from _part_fleet import Fleet
from pomeloshift.dispatch import (
    CrashKeys,
    Quarantine,
    QuarantineConfig,
    SuspectPart,
    find_causes,
)

CFG = QuarantineConfig()


def suspect(key, *crashes, position=0, min_crashes=3):
    return SuspectPart(key, frozenset(crashes), position, min_crashes)


@pytest.fixture
def quarantine():
    return Quarantine()


def crash(quarantine, part, count, now=0.0, position=0):
    for number in range(count):
        quarantine.note_crash(f"part-{part}", f"{part}-c{number}", now, position)


def is_blocked(quarantine, *parts, now=0.0):
    return bool(quarantine.blocking(CrashKeys(parts=parts), now))


def test_part_beside_the_cause_of_its_crashes_is_no_cause():
    fatal = suspect("fatal", "c1", "c2", "c3", "c4")
    beside = suspect("beside", "c1", "c2", "c3")
    assert find_causes([beside, fatal]) == {"fatal"}


def test_part_with_enough_unexplained_crashes_is_a_second_cause():
    first = suspect("first", "c1", "c2", "c3", "c4")
    second = suspect("second", "c4", "c5", "c6", "c7")
    assert find_causes([first, second]) == {"first", "second"}
    assert find_causes([first, suspect("second", "c4", "c5", "c6")]) == {"first"}


def test_of_parts_with_the_same_crashes_the_last_one_of_the_prompt_is_the_cause():
    crashes = ("c1", "c2", "c3")
    shared = suspect("shared", *crashes, position=0)
    assert find_causes([shared, suspect("a", *crashes, position=1)]) == {"a"}


def test_part_whose_crashes_are_all_of_one_quarantined_request_is_no_cause():
    part = suspect("a", "c1", "c2", "c3")
    request = frozenset({"c1", "c2", "c3"})
    assert find_causes([part], [request]) == set()
    assert find_causes([suspect("a", "c1", "c2", "c3", "c4")], [request]) == {"a"}


def test_part_that_was_completed_before_needs_more_crashes(quarantine):
    quarantine.note_answered(CrashKeys(parts=("a",)), 0.0)
    crash(quarantine, "a", CFG.proven_crashes - 1, now=1.0)
    assert not is_blocked(quarantine, "a", now=1.0)
    crash(quarantine, "a", CFG.proven_crashes, now=1.0)
    assert is_blocked(quarantine, "a", now=1.0)
    later = CFG.quarantine_s - 1.0
    crash(quarantine, "b", CFG.crashes, now=later)
    assert is_blocked(quarantine, "b", now=later)


def test_complete_response_releases_the_parts_of_its_request(quarantine):
    crash(quarantine, "a", 4)
    assert is_blocked(quarantine, "first", "a")
    quarantine.note_answered(CrashKeys("f", ("a",)), 1.0)
    assert not is_blocked(quarantine, "first", "a", now=1.0)


def test_quarantine_of_a_part_ends(quarantine):
    crash(quarantine, "a", 4)
    assert is_blocked(quarantine, "a", now=CFG.quarantine_s - 1.0)
    assert not is_blocked(quarantine, "b")
    quarantine.expire(CFG.quarantine_s)
    assert not is_blocked(quarantine, "a", now=CFG.quarantine_s)


def test_only_the_owner_tries_a_quarantined_part_and_only_once_at_a_time(quarantine):
    crash(quarantine, "a", 3)
    keys = CrashKeys("f", ("a",))
    due = CFG.trial_s
    assert not quarantine.take_trial(keys, due - 1.0, lambda key: True)
    assert not quarantine.take_trial(keys, due, lambda key: False)
    assert quarantine.take_trial(keys, due, lambda key: key == "part-a")
    assert not quarantine.take_trial(keys, due + 1.0, lambda key: True)


def test_part_that_was_completed_before_is_tried_soon(quarantine):
    quarantine.note_answered(CrashKeys(parts=("a",)), 0.0)
    crash(quarantine, "a", CFG.proven_crashes)
    keys = CrashKeys(parts=("a",))
    assert 0 < quarantine.blocked_for(keys, 0.0) <= CFG.proven_trial_s
    assert quarantine.take_trial(keys, CFG.proven_trial_s, lambda key: True)


def test_trials_of_a_part_that_crashes_engines_end(quarantine):
    keys = CrashKeys(parts=("a",))
    crash(quarantine, "a", CFG.max_trial_crashes + 1)
    assert not quarantine.take_trial(keys, CFG.quarantine_s - 1.0, lambda key: True)
    assert quarantine.blocked_for(keys, 1.0) == CFG.quarantine_s - 1.0


def test_parts_that_are_kept_are_bounded():
    quarantine = Quarantine(QuarantineConfig(max_parts=100))
    for number in range(300):
        keys = CrashKeys(parts=(f"{number:x}",))
        quarantine.note_answered(keys, 1.0)
        quarantine.note_crash(keys.part_keys[0], "c", 1.0, position=1)
    quarantine.expire(2.0)
    assert len(quarantine._proven_at) == 100
    assert len(quarantine._positions) == 100
    assert len(quarantine._parts.crash_records(2.0)) == 100


# A fleet of six engines under bursts of mixed requests

MAX_LATE_REQUESTS = 3  # with a fatal part, later than four seconds after five crashes
MIN_SERVED = 0.5  # of harmless requests with the first part of the fatal ones


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("is_first_part_fixed", [True, False])
def test_fatal_part_is_stopped_and_harmless_requests_go_on(seed, is_first_part_fixed):
    fleet = Fleet(seed)
    fleet.send_fatal(is_first_part_fixed)
    fleet.run()
    assert fleet.late_fatal <= MAX_LATE_REQUESTS
    assert fleet.served_share() >= MIN_SERVED


@pytest.mark.parametrize("seed", range(10))
def test_harmless_parts_are_released_after_engines_crashed_for_another_reason(seed):
    fleet = Fleet(seed)
    fleet.crash_waves()
    fleet.run()
    assert fleet.served_share() >= MIN_SERVED
    assert not fleet.quarantine.causes(fleet.now)
