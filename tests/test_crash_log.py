"""The record of crashes at several gateways over one topic, in virtual time."""

import attrs
import pytest
from loguru import logger
from twisted.internet.defer import Deferred, fail
from twisted.internet.testing import MemoryReactorClock

from _crash_topic import STEP_S, Append, Link, SilentStore, Topic
from _virtual import VirtualClock
from pomeloshift.appends import CallPace
from pomeloshift.dispatch import CrashKeys, Engine, EngineRecord, Fleet, fingerprint
from pomeloshift.gateway._crash_log import PARTITION, TOPIC, CrashLog
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._log_writer import LogWriter
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._timing import (
    CRASHES_WAIT_S,
    MAX_UNWRITTEN_CRASHES,
    PART_TRIAL_S,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    QUARANTINE_TRIAL_S,
)
from pomeloshift.net._periodic_tasks import PeriodicTasks
from pomeloshift.platform import CALL_TIMEOUT_S, StoreFullError

CALL_BYTES = 65536


class SteppedClock(VirtualClock):
    """A clock whose time of day is wrong by ``step_s``."""

    def __init__(self, reactor, step_s):
        super().__init__(reactor)
        self.step_s = step_s

    def wall(self):
        return super().wall() + self.step_s


class Owner:
    def __init__(self, is_owner=True):
        self.is_owner = is_owner

    def owns(self, name):
        return self.is_owner

    def rank(self, name):
        return 0 if self.is_owner else 1


class Fixture:
    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.clock = VirtualClock(self.reactor)
        self.topic = Topic(self.reactor)
        self.tasks = PeriodicTasks(self.reactor)

    def add(self, clock=None, is_owner=True, link=None, writer=None):
        clock, link = clock or self.clock, link or self.topic
        events = EventLog(clock, GatewayMetrics("g"))
        owner = Owner(is_owner)
        log = CrashLog(
            link, writer or link, Fleet(), owner, events, self.reactor, clock
        )
        log.start(self.tasks)
        return log

    def advance(self, seconds):
        self.reactor.pump([STEP_S] * round(seconds / STEP_S))


@pytest.fixture
def logs():
    fixture = Fixture()
    yield fixture
    fixture.tasks.stop()


def engine(name, incarnation=1):
    record = EngineRecord(name, "lm", "10.0.0.1:1", "a", 8, False, incarnation)
    return Engine(record)


def keys(request, *parts):
    return CrashKeys(request, parts)


def crash(log, *names, request="f"):
    for name in names:
        log.note_crash(keys(request), engine(name), "r1")


def test_third_crash_quarantines_at_every_gateway(logs):
    first, second = logs.add(), logs.add()
    crash(first, "e1", "e2")
    logs.advance(1.0)
    assert not second.is_quarantined(keys("f"))
    crash(second, "e3")
    assert second.is_quarantined(keys("f"))  # before the store has the record
    logs.advance(1.0)
    assert first.is_quarantined(keys("f"))
    assert logs.add().is_quarantined(keys("f"))
    assert not first.is_quarantined(keys("g"))


def test_crash_that_several_gateways_see_counts_once(logs):
    gateways = [logs.add() for _ in range(QUARANTINE_CRASHES)]
    for log in gateways:
        crash(log, "e1")
    logs.advance(1.0)
    assert [log.count_crashes("f") for log in gateways] == [1, 1, 1]
    assert len(logs.topic.live_keys()) == 1


def test_each_incarnation_of_an_engine_is_a_crash_of_its_own(logs):
    log = logs.add()
    for incarnation in range(QUARANTINE_CRASHES):
        log.note_crash(keys("f"), engine("e1", incarnation), "r1")
    assert log.is_quarantined(keys("f"))


def test_complete_response_clears_the_request_at_every_gateway(logs):
    first, second = logs.add(), logs.add()
    crash(first, "e1", "e2")
    logs.advance(1.0)
    second.note_answered(keys("f"), "r1")
    crash(second, "e3")
    logs.advance(1.0)
    for log in (first, second, logs.add()):
        assert log.count_crashes("f") == 1
    assert len(logs.topic.live_keys()) == 1


def test_log_names_the_request_whose_response_cleared_the_crashes(logs):
    lines = []
    handler = logger.add(lines.append, format="{message}")
    log = logs.add()
    crash(log, "e1", "e2")
    log.note_answered(keys("f"), "r2")
    log.note_answered(keys("f"), "r3")
    logger.remove(handler)
    cleared = [line for line in lines if "crashes_cleared" in line]
    assert len(cleared) == 1
    assert "id=r2 fingerprint=f crashes=2" in cleared[0]


def test_quarantine_ends_and_its_records_are_removed(logs):
    log = logs.add()
    crash(log, "e1", "e2", "e3")
    logs.advance(QUARANTINE_S - 10.0)
    restarted = logs.add()
    assert 9.0 < restarted.quarantined_for(keys("f")) <= 10.0
    logs.advance(11.0)
    assert not log.is_quarantined(keys("f"))
    assert not restarted.is_quarantined(keys("f"))
    assert not logs.topic.live_keys()


def test_harmless_request_is_tried_again_after_crashes_of_another_cause(logs):
    owner, other = logs.add(), logs.add(is_owner=False)
    crash(other, "e1", "e2", "e3")
    logs.advance(QUARANTINE_TRIAL_S - 1.0)
    assert not owner.take_trial(keys("f"))
    logs.advance(2.0)
    assert not other.take_trial(keys("f"))
    assert owner.take_trial(keys("f"))
    assert not owner.take_trial(keys("f"))
    owner.note_answered(keys("f"), "r1")
    logs.advance(1.0)
    assert not other.is_quarantined(keys("f"))


def test_request_whose_trial_crashes_another_engine_is_not_tried_again(logs):
    first, second = logs.add(), logs.add()
    crash(first, "e1", "e2", "e3")
    logs.advance(QUARANTINE_TRIAL_S + 1.0)
    assert first.take_trial(keys("f"))
    crash(first, "e4")
    logs.advance(2 * QUARANTINE_TRIAL_S)
    assert not first.take_trial(keys("f"))
    assert not second.take_trial(keys("f"))


@pytest.mark.parametrize("is_silent", [True, False])
def test_trial_whose_engine_falls_silent_makes_no_room_for_another(logs, is_silent):
    log, part = logs.add(), CrashKeys(parts=("5c1e",))
    for name in ("e1", "e2", "e3"):
        log.note_crash(part, engine(name), "r")
    logs.advance(PART_TRIAL_S)
    assert log.take_trial(part)
    run = log.watch(part, engine("e4"), "r", is_trial=True)
    log.note_run_given_up(run, is_silent)
    log.unwatch(run)
    assert log.may_try(part) is not is_silent


def test_gateway_that_lost_history_forgets_the_crashes_cleared_meanwhile(logs):
    first, second = logs.add(), logs.add()
    crash(first, "e1", "e2", "e3")
    logs.advance(1.0)
    logs.topic.is_down = True
    logs.advance(1.0)
    crash(second, "e4", request="g")
    logs.topic.records.pop()  # not yet in the store
    first.note_answered(keys("f"), "r1")
    logs.topic.first = len(logs.topic.records)
    logs.topic.is_down = False
    logs.advance(2.0)
    assert second.count_crashes("f") == 0
    assert second.count_crashes("g") == 1


@pytest.mark.parametrize("step_s", [-2 * QUARANTINE_S, 2 * QUARANTINE_S])
def test_gateway_whose_clock_is_wrong_does_not_end_a_quarantine(logs, step_s):
    log, wrong = logs.add(), logs.add(SteppedClock(logs.reactor, step_s))
    crash(log, "e1", "e2", "e3", request="f")
    crash(wrong, "e1", "e2", "e3", request="g")
    logs.advance(2.0)
    for each in (log, wrong):
        assert each.is_quarantined(keys("f"))
        assert each.is_quarantined(keys("g"))
    restarted = logs.add()
    logs.advance(1.0)
    assert restarted.is_quarantined(keys("f"))


def test_crash_seen_during_an_outage_of_the_store_counts_here(logs):
    log = logs.add()
    logs.topic.is_down = True
    logs.advance(1.0)
    crash(log, "e1", "e2", "e3")
    assert log.is_quarantined(keys("f"))


@pytest.mark.parametrize("value", [b"{", b'{"engine":1}', b"\xff"])
def test_record_that_cannot_be_read_changes_nothing(logs, value):
    logs.topic.append([("f/1", value), ("no key", value), ("f/2", None)])
    log = logs.add()
    crash(log, "e1")
    logs.advance(1.0)
    assert log.count_crashes("f") == 1


def test_gateway_is_ready_once_it_has_read_the_crashes(logs):
    logs.topic.is_down = True
    log = logs.add()
    assert not log.is_ready
    logs.topic.is_down = False
    logs.advance(1.0)
    assert log.is_ready


def test_gateway_whose_crashes_cannot_be_read_is_ready_later(logs):
    logs.topic.is_down = True
    log = logs.add()
    logs.advance(CRASHES_WAIT_S + 1.0)
    assert log.is_ready


def test_records_that_wait_for_the_store_are_bounded(logs, monkeypatch):
    log = logs.add()
    sent = []
    monkeypatch.setattr(
        logs.topic, "append", lambda records: sent.append(records) or Append(Deferred())
    )
    for number in range(MAX_UNWRITTEN_CRASHES + 10):
        crash(log, "e1", request=f"f{number}")
    assert len(sent) == MAX_UNWRITTEN_CRASHES
    assert log.count_crashes(f"f{MAX_UNWRITTEN_CRASHES + 9}") == 1


def test_silent_engine_counts_only_once_it_is_gone(logs):
    log = logs.add()
    gone, slow, drained = engine("e1"), engine("e2"), engine("e3")
    late = engine("e4")
    for each in (gone, slow, drained, late):
        log.note_given_up(keys("f"), each, "r1")
    logs.advance(1.0)
    assert log.count_crashes("f") == 0
    gone.is_gone = True
    drained.record = EngineRecord("e3", "lm", "10.0.0.1:1", "a", 8, True, 1)
    drained.is_gone = True
    late.last_byte_at = logs.clock.monotonic()
    late.is_gone = True
    logs.advance(1.0)
    assert log.count_crashes("f") == 1
    logs.advance(10.0)
    slow.is_gone = True
    logs.advance(1.0)
    assert log.count_crashes("f") == 1


def test_silent_crash_of_an_engine_that_has_restarted_since_counts(logs):
    log, fleet = logs.add(), Fleet()
    record = EngineRecord("e1", "lm", "10.0.0.1:1", "a", 8, False, 1)
    fleet.put(record)
    restarted = fleet.engines["e1"]
    log.note_given_up(keys("f"), restarted, "r1")
    restarted.note_reported(2)
    fleet.put(attrs.evolve(record, incarnation=2))
    logs.advance(1.0)
    assert log.count_crashes("f") == 1


def test_fingerprint_is_the_same_only_for_the_same_request():
    parts = ("App.example", "/a", b"body")
    assert fingerprint(*parts) == fingerprint("app.example", *parts[1:])
    changed = [
        fingerprint("b.example", *parts[1:]),
        fingerprint("App.example", "/b", b"body"),
        fingerprint(*parts[:2], b"other"),
        fingerprint("App.example", "/ab", b"ody"),
    ]
    assert len({fingerprint(*parts), *changed}) == 1 + len(changed)


# Parts of prompts


def crash_part(log, *names, part="p"):
    """Records crashes under requests no two alike that share a part."""
    for name in names:
        log.note_crash(keys(f"request-{name}", "first", part), engine(name), "r1")


def test_part_that_crashed_engines_is_quarantined_at_every_gateway(logs):
    first, second = logs.add(), logs.add()
    crash_part(first, "e1", "e2")
    logs.advance(1.0)
    assert not second.is_quarantined(keys("new", "first", "p"))
    crash_part(second, "e3")
    logs.advance(1.0)
    restarted = logs.add()
    logs.advance(1.0)
    for log in (first, second, restarted):
        assert log.is_quarantined(keys("new", "first", "p"))
        assert log.is_quarantined(keys("another", "p"))
        assert not log.is_quarantined(keys("sound", "first", "q"))


def test_gateway_that_was_cut_from_the_store_learns_of_parts_afterwards(logs):
    log, cut = logs.add(), logs.add()
    logs.topic.is_down = True
    logs.advance(1.0)
    crash_part(log, "e1", "e2", "e3")
    logs.topic.is_down = False
    logs.advance(2.0)
    assert cut.is_quarantined(keys("new", "p"))


def test_complete_response_elsewhere_releases_a_part_at_every_gateway(logs):
    first, second = logs.add(), logs.add()
    crash_part(first, "e1", "e2", "e3")
    logs.advance(1.0)
    second.note_answered(keys("sound", "p"), "r1")
    logs.advance(1.0)
    for log in (first, second, logs.add()):
        assert not log.is_quarantined(keys("new", "p"))


def test_engines_that_crash_without_closing_connections_count_for_parts(logs):
    log = logs.add()
    engines = [engine(f"e{number}") for number in range(3)]
    for number, each in enumerate(engines):
        log.note_given_up(keys(f"request-{number}", "p"), each, "r1")
        each.is_gone = True
    logs.advance(1.0)
    assert log.is_quarantined(keys("new", "p"))


def test_record_of_a_part_without_a_position_is_read(logs):
    log = logs.add()
    for number in range(3):
        value = b'{"engine":"e%d","incarnation":1,"at":0.0}' % number
        logs.topic.append([(f"part-p/{number}", value)])
    logs.advance(1.0)
    assert log.count_crashes("part-p") == 3


# Records that land late, or that the store does not take

# How soon a crash has to be known everywhere, in seconds.
CONTACT_S = 4.0


@pytest.mark.parametrize("crashed_at", [3.0, 6.4, 8.5, 9.3, 9.9])
def test_crash_beside_a_silent_store_is_known_everywhere_soon_after(logs, crashed_at):
    logs.topic = store = SilentStore(logs.reactor)
    gateways = []
    for name in ("g0", "g1"):
        events = EventLog(logs.clock, GatewayMetrics(name))
        pace = CallPace(CALL_BYTES // 2, CALL_TIMEOUT_S)
        writer = LogWriter(TOPIC, PARTITION, store, name, pace, logs.reactor, events)
        gateways.append(logs.add(writer=writer))
    logs.advance(2.0)
    silent_for_s = 8.0
    store.silent_until = logs.reactor.seconds() + silent_for_s
    logs.advance(crashed_at - 2.0)
    crash(gateways[0], "e1", "e2", "e3")
    logs.advance(2.0 + silent_for_s - crashed_at + CONTACT_S)
    assert gateways[1].is_quarantined(keys("f"))


@pytest.fixture
def reject(logs, monkeypatch):
    """Makes the store reject the next appends for good."""

    def reject(count):
        appends = []

        def append(records):
            appends.append(records)
            if len(appends) <= count:
                return Append(fail(StoreFullError("the store is full")))
            return Topic.append(logs.topic, records)

        monkeypatch.setattr(logs.topic, "append", append)

    return reject


@pytest.mark.parametrize("rejected", [1, 2])
def test_crashes_whose_records_the_store_rejected_are_known_everywhere(
    logs, reject, rejected
):
    first, second = logs.add(), logs.add()
    reject(rejected)
    crash(first, "e1", "e2", "e3")
    crash_part(first, "e4", "e5", "e6")
    logs.advance(CONTACT_S)
    for log in (second, logs.add()):
        logs.advance(1.0)
        assert log.is_quarantined(keys("f"))
        assert log.is_quarantined(keys("new", "p"))


def test_request_whose_clearing_the_store_rejected_is_cleared_everywhere(logs, reject):
    first, second = logs.add(), logs.add()
    crash(first, "e1", "e2", "e3")
    logs.advance(1.0)
    reject(1)
    first.note_answered(keys("f"), "r2")
    logs.advance(CONTACT_S)
    assert second.count_crashes("f") == 0
    assert not logs.topic.live_keys()


def test_crashes_beyond_the_bound_are_known_everywhere_once_the_store_is_back(logs):
    link = Link(logs.topic)
    first, second = logs.add(link=link), logs.add()
    logs.advance(1.0)
    link.is_down = True
    for number in range(MAX_UNWRITTEN_CRASHES):
        crash(first, "e1", request=f"g{number}")
    crash(first, "e2", "e3", "e4")
    link.restore()
    logs.advance(CONTACT_S)
    assert second.is_quarantined(keys("f"))


def test_expired_record_whose_removal_the_store_rejected_is_removed_later(logs, reject):
    log = logs.add()
    crash(log, "e1")
    logs.advance(1.0)
    reject(1)
    logs.advance(QUARANTINE_S + 60.0)
    assert not logs.topic.live_keys()
