from random import Random

import attrs
import pytest

from pomeloshift.errors import ErrorCode, Ran
from pomeloshift.membership import (
    ENGINE_LEASE,
    CommandDone,
    CommandFailed,
    CommandKind,
    Drain,
    DrainState,
    DrainStep,
    EngineCommand,
    EngineCommands,
    FleetView,
    HeartbeatSender,
    HeartbeatTiming,
    HeldLeases,
    Lease,
    LoadFailed,
    LoadingLimits,
    MemberFound,
    MemberLeft,
    MemberLost,
    MembershipTiming,
    MemberState,
    NewerConfigSeen,
    ObservedEngineState,
    PullConfig,
    ReadEngine,
    SendCommand,
    SendReport,
    SendResult,
    StartLoad,
    StateChanged,
    WeightLoading,
    Weights,
)
from pomeloshift.model import (
    Instance,
    InstanceRole,
    InstanceState,
    LoadReport,
    Place,
)
from pomeloshift.wire import SidecarReport

PLACE = Place("r", "r-a")
SERVER = Instance("s1", InstanceRole.BACKEND_SERVER, PLACE, "127.0.0.1:1")
LEAVING = attrs.evolve(SERVER, state=InstanceState.LEAVING)


def report(sequence, incarnation=1, **changes):
    return SidecarReport(SERVER, incarnation, sequence, 0, LoadReport(), **changes)


def entry(number):
    address = f"tcp://127.0.0.1:{number}"
    return Instance(f"e{number}", InstanceRole.ENTRY, PLACE, "", address)


@pytest.fixture
def view():
    return FleetView(MembershipTiming(suspect_after_s=2.0, lost_after_s=6.0))


def test_heartbeat_makes_a_member_live_before_the_list_shows_it(view):
    assert view.observe_report(report(1), 0.0) == [MemberFound(SERVER, 1)]
    assert view.observe_list((), 0.5) == []
    assert view.names(MemberState.LIVE) == ("s1",)


def test_member_without_heartbeats_is_suspected_then_lost_despite_the_list(view):
    view.observe_report(report(1, running=("a1",)), 0.0)
    assert view.observe_list((SERVER,), 2.0) == []
    changed = view.observe_list((SERVER,), 2.5)
    assert changed == [StateChanged("s1", MemberState.SUSPECT)]
    lost = view.observe_list((SERVER,), 6.5)
    assert MemberLost("s1", 1, ("a1",)) in lost
    assert view.observe_list((SERVER,), 7.0) == []
    returned = view.observe_report(report(2), 8.0)
    assert returned[0] == MemberFound(SERVER, 1)
    assert view.names(MemberState.LIVE) == ("s1",)


def test_failed_connection_makes_a_member_suspected_until_it_is_seen(view):
    view.observe_report(report(1), 0.0)
    view.observe_failure("s1", 0.1)
    assert view.names(MemberState.SUSPECT) == ("s1",)
    view.observe_response("s1", 0.2)
    assert view.names(MemberState.LIVE) == ("s1",)


def test_reported_drain_overrides_older_reports_and_the_list(view):
    view.observe_report(report(5), 0.0)
    view.observe_report(report(7, draining=True), 0.1)
    view.observe_report(report(6), 0.2)
    view.observe_list((SERVER,), 0.3)
    view.observe_report(report(8), 0.4)
    assert view.names(MemberState.LEAVING) == ("s1",)
    assert MemberLeft("s1", 1) in view.tick(7.0)


def test_member_leaves_if_only_the_list_shows_it_leaving(view):
    view.observe_list((SERVER,), 0.0)
    view.observe_list((LEAVING,), 1.0)
    assert view.names(MemberState.LEAVING) == ("s1",)
    assert MemberLeft("s1", 0) in view.observe_list((), 7.5)


def test_restart_means_the_earlier_process_was_lost(view):
    view.observe_report(report(9, running=("a1",)), 0.0)
    effects = view.observe_report(report(1, incarnation=2), 0.5)
    assert effects == [MemberLost("s1", 1, ("a1",)), MemberFound(SERVER, 2)]
    assert view.observe_report(report(10), 0.6) == []
    assert view.get("s1").incarnation == 2


def test_restart_with_a_lower_incarnation_after_a_clock_step_is_accepted(view):
    view.observe_report(report(9, incarnation=5), 0.0)
    assert view.observe_report(report(1, incarnation=3), 1.0) == []
    view.observe_list((SERVER,), 7.0)
    assert MemberFound(SERVER, 3) in view.observe_report(report(2, incarnation=3), 7.1)


def test_engine_death_is_reported_once(view):
    view.observe_report(report(1, running=("a1",)), 0.0)
    dead = report(2, engine_alive=False, running=("a1",))
    assert MemberLost("s1", 1, ("a1",)) in view.observe_report(dead, 0.1)
    assert view.observe_report(report(3, engine_alive=False), 0.2) == []
    assert view.names(MemberState.SUSPECT) == ("s1",)


def test_newer_configuration_is_noticed(view):
    newer = attrs.evolve(report(1), config_version=4)
    assert NewerConfigSeen("s1", 4) in view.observe_report(newer, 0.0)
    view.config_version = 4
    newer = attrs.evolve(report(2), config_version=4)
    assert view.observe_report(newer, 0.1) == []


def test_heartbeats_are_immediate_on_urgent_change_and_slow_when_idle():
    timing = HeartbeatTiming(change_interval_s=0.1, idle_interval_s=1.0)
    sender = HeartbeatSender("s1", timing, Random(1))
    one = entry(1)
    assert sender.observe_list((one,), 0.0) == [SendReport(one)]
    assert sender.state_changed(0.01, urgent=True) == []
    assert sender.answered("e1", 0, 0, 0.02) == [SendReport(one)]
    sender.answered("e1", 0, 0, 0.03)
    assert sender.state_changed(0.04) == []
    assert sender.tick(0.13) == [SendReport(one)]
    sender.answered("e1", 0, 0, 0.14)
    assert sender.tick(0.8) == []
    assert sender.tick(1.14) == [SendReport(one)]
    assert sender.answered("e1", 7, 5, 1.2) == [PullConfig(one, 5)]


def test_heartbeats_follow_a_bounded_stable_subset():
    sender = HeartbeatSender("s1", HeartbeatTiming(fan_out=3), Random(1))
    entries = [entry(n) for n in range(20)]
    first = [effect.entry.name for effect in sender.observe_list(entries, 0.0)]
    assert len(first) == 3
    removed = first[0]
    remaining = [one for one in entries if one.name != removed]
    added = [effect.entry.name for effect in sender.observe_list(remaining, 0.01)]
    assert len(added) == 1
    assert {one.name for one in sender.entries} == set(first) - {removed} | set(added)


def test_failed_heartbeat_is_retried_soon():
    sender = HeartbeatSender("s1", HeartbeatTiming(), Random(1))
    sender.observe_list((entry(1),), 0.0)
    assert sender.failed("e1", 1.0) == []
    assert sender.tick(1.1) == [SendReport(entry(1))]


def test_pause_drops_all_leases_before_anything_else():
    leases = HeldLeases(lease_s=5.0, now=0.0)
    long_lease = Lease("partition-1", 3, expires_at=100.0)
    leases.grant(long_lease)
    assert leases.held("partition-1", 4.0) == long_lease
    assert leases.held("partition-1", 10.0) is None
    leases.grant(Lease("partition-1", 5, expires_at=12.0))
    leases.grant(long_lease)
    assert leases.held("partition-1", 11.0).fencing_number == 5
    assert leases.held("partition-1", 12.0) is None


@pytest.fixture
def leases():
    leases = HeldLeases(lease_s=5.0, now=0.0)
    leases.grant(Lease(ENGINE_LEASE, 7, expires_at=5.0))
    return leases


LOAD = EngineCommand("o1", CommandKind.LOAD_MODEL, "lm")


def test_command_is_done_when_the_engine_shows_it(leases):
    commands = EngineCommands(leases, checks_fencing=False, send_s=1.0)
    assert commands.submit(LOAD, 0.0) == [SendCommand(LOAD, 7)]
    assert commands.sent(SendResult.UNANSWERED, 1.0) == [ReadEngine("o1")]
    assert commands.read(ObservedEngineState(), 1.1) == [SendCommand(LOAD, 7)]
    commands.sent(SendResult.APPLIED, 1.2)
    assert commands.read(ObservedEngineState(models=("lm",)), 1.3) == [
        CommandDone("o1")
    ]


@pytest.mark.parametrize(("checks", "sent"), [(True, True), (False, False)])
def test_engine_that_ignores_fencing_gets_no_command_near_the_lease_end(
    leases, checks, sent
):
    commands = EngineCommands(leases, checks_fencing=checks, send_s=1.0)
    effects = commands.submit(LOAD, 4.5)
    assert isinstance(effects[0], SendCommand) is sent
    if not sent:
        assert effects[0].error.code is ErrorCode.LEASE_LOST
        assert effects[0].error.ran is Ran.NO


def test_pause_between_commands_stops_the_second(leases):
    commands = EngineCommands(leases, checks_fencing=True, send_s=1.0)
    commands.submit(LOAD, 0.0)
    commands.submit(EngineCommand("o2", CommandKind.CHANGE_ROLE, "standby"), 0.0)
    commands.sent(SendResult.APPLIED, 20.0)
    effects = commands.read(ObservedEngineState(models=("lm",)), 20.0)
    assert effects[0] == CommandDone("o1")
    assert effects[1].error.code is ErrorCode.LEASE_LOST


def test_higher_fencing_token_at_the_engine_revokes_the_lease(leases):
    commands = EngineCommands(leases, checks_fencing=False, send_s=1.0)
    commands.submit(LOAD, 0.0)
    commands.sent(SendResult.APPLIED, 0.1)
    failed = commands.read(ObservedEngineState(fencing_number=9), 0.2)
    assert failed[0].error.code is ErrorCode.FENCED
    assert leases.held(ENGINE_LEASE, 0.2) is None


def test_fenced_command_revokes_the_lease(leases):
    commands = EngineCommands(leases, checks_fencing=True, send_s=1.0)
    commands.submit(LOAD, 0.0)
    failed = commands.sent(SendResult.FENCED, 0.1)
    assert isinstance(failed[0], CommandFailed)
    assert leases.held(ENGINE_LEASE, 0.1) is None


def test_command_that_the_engine_never_shows_fails_as_unknown(leases):
    commands = EngineCommands(leases, checks_fencing=True, send_s=0.1)
    effects = commands.submit(LOAD, 0.0)
    sends = 0
    while isinstance(effects[0], SendCommand):
        sends += 1
        commands.sent(SendResult.UNANSWERED, 0.1)
        effects = commands.read(None, 0.1)
    assert sends == 3
    assert effects[0].error.ran is Ran.UNKNOWN


def test_sidecar_refuses_work_at_once_and_closes_when_idle():
    drain = Drain(linger_s=0.0)
    assert drain.observe(0, 0.0) == ()
    steps = drain.begin(1.0)
    assert steps == (DrainStep.ANNOUNCE, DrainStep.RELEASE_WORK, DrainStep.REFUSE)
    assert not drain.accepts_work
    assert drain.begin(1.5) == ()
    assert drain.observe(1, 2.0) == ()
    assert drain.observe(0, 3.0) == (DrainStep.CLOSE,)
    assert drain.state is DrainState.DRAINED
    drain.stop()
    assert drain.state is DrainState.STOPPED


def test_entry_accepts_work_during_its_linger_time():
    drain = Drain(linger_s=2.0)
    assert drain.begin(0.0) == (DrainStep.ANNOUNCE, DrainStep.RELEASE_WORK)
    assert drain.accepts_work
    assert drain.observe(0, 1.9) == ()
    assert drain.observe(0, 2.0) == (DrainStep.REFUSE, DrainStep.CLOSE)


def test_weight_loads_of_a_restarted_fleet_are_staggered_and_all_succeed():
    from pomeloshift.standins.weights import WeightModel

    store = WeightModel(loads_per_s=5.0, burst=5)
    rng = Random(3)
    loaders = [WeightLoading(LoadingLimits(), Random(rng.random())) for _ in range(50)]
    weights = Weights("lm", "1")
    done = set()
    for step in range(6000):
        now = step * 0.05
        for number, loader in enumerate(loaders):
            effects = loader.want(weights, now) if step == 0 else loader.tick(now)
            if StartLoad(weights) in effects:
                wait_s = store.start_load(now)
                if wait_s is None:
                    loader.loaded(weights, now)
                    done.add(number)
                else:
                    loader.refused(weights, wait_s, now)
    assert len(done) == 50
    assert store.started == 50
    assert store.refused < 6 * 50


def test_weight_load_fails_after_its_timeout():
    loader = WeightLoading(
        LoadingLimits(initial_jitter_s=0.0, timeout_s=10.0), Random(1)
    )
    weights = Weights("lm", "1")
    assert loader.want(weights, 0.0) == [StartLoad(weights)]
    loader.refused(weights, 60.0, 1.0)
    failed = loader.tick(11.0)
    assert isinstance(failed[0], LoadFailed)
    assert loader.waiting == ()
