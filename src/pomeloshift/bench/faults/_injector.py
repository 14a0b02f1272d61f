"""Injects the faults."""

from collections.abc import Callable

import attrs

from ...wire import Frame, encode_frame
from ._fault import Fault
from ._process import SimProcess
from ._scenario import Scenario
from ._step import Workload
from ._world import World

RESTART_S = 1.0
OUTAGE_S = 4.0
SLOW_S = 6.0
SLOW_DELAY_S = 1.5
PAUSE_S = 8.0
DELAY_WITHIN_TIMEOUT_S = 1.2
DELAY_BEYOND_TIMEOUT_S = 2.5
PARTITION_S = 5.0
STALE_LAG_S = 12.0
CLOCK_STEP_S = -3600.0
LOST_REPLIES = 2
OTHER_RESPONSE = b'data: {"choices": [{"text": " of another"}]}\n\n'
CONTROL_MESSAGES = ("ItemPull", "ItemResults", "SidecarReport", "ConfigPull")


@attrs.define
class FaultInjector:
    """Injects one fault and checks afterwards whether it took effect."""

    fault: Fault
    injected: bool = False
    _evidence: list[Callable[[], bool]] = attrs.field(factory=list)

    def inject(self, process: SimProcess, scenario: Scenario) -> None:
        """Injects the fault at the process that executes the step."""
        _INJECTIONS[self.fault](self, process, scenario)
        self.injected = True

    def has_taken_effect(self) -> bool:
        """Returns whether the fault was injected and all evidence of it is present."""
        return self.injected and all(condition() for condition in self._evidence)

    def add_evidence(self, condition: Callable[[], bool]) -> None:
        """Adds a condition that holds only if the fault took effect."""
        self._evidence.append(condition)


def _kill_process(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    process.kill()
    scenario.world.replace_later(process, RESTART_S)
    injector.add_evidence(lambda: not process.is_alive)


def _lose_instance(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    # The delay lets the step's response leave before the instance is lost.
    scenario.world.clock.callLater(0.03, process.lose_instance)
    scenario.world.replace_later(process, RESTART_S)
    injector.add_evidence(lambda: not process.is_alive)


def _lose_responses(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    world = scenario.world
    world.log.faults = attrs.evolve(world.log.faults, lost_answers=LOST_REPLIES)
    for name in CONTROL_MESSAGES:
        world.switch.faults.lose_answers[name] = 1
    lost = world.network.drop_responses_of(process)
    injector.add_evidence(
        lambda: world.log.lost_answers + world.switch.faults.injected + lost > 0
    )


def _stop_log(injector: FaultInjector, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    refused = world.log.refused
    world.log.faults = attrs.evolve(world.log.faults, is_down=True)
    world.clock.callLater(OUTAGE_S, _restore_log, world)
    injector.add_evidence(lambda: world.log.refused > refused)


def _slow_log(injector: FaultInjector, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    before = world.log_hooks.operations
    world.log.faults = attrs.evolve(world.log.faults, delay_s=SLOW_DELAY_S)
    world.clock.callLater(SLOW_S, _restore_log, world)
    injector.add_evidence(lambda: world.log_hooks.operations > before)


def _restore_log(world: World) -> None:
    world.log.faults = attrs.evolve(world.log.faults, is_down=False, delay_s=0.0)


def _pause(injector: FaultInjector, process: SimProcess, scenario: Scenario) -> None:
    process.pause(PAUSE_S)
    injector.add_evidence(lambda: process.deferred_calls > 0 or not process.is_alive)


def _drop_connections(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    world = scenario.world
    affected = 0
    for other in world.processes():
        if other is not process:
            affected += world.network.drop_traffic(process, other)
            world.switch.drop_traffic(process.name, other.name)
    injector.add_evidence(lambda: affected + world.switch.faults.injected > 0)


def _submit_twice(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    if scenario.workload is Workload.BATCH:
        scenario.job_caller.submit_again(scenario.jobs[0])
        scenario.job_caller.submit_again(scenario.jobs[1])
        injector.add_evidence(lambda: len(scenario.jobs[0].job_ids) >= 2)
    else:
        again = scenario.online.call_service("call1", ["e2", "e1"])
        injector.add_evidence(lambda: again.ended_at is not None)


def _publish_concurrently(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    """Publishes another time on base version 1.

    The scenario has started the first concurrent publication.
    """
    publication = scenario.publish("late rival", "e2", 1)
    injector.add_evidence(
        lambda: publication.is_resolved and scenario.has_concurrent_operator
    )


def _submit_poison_request(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    history = scenario.world.history
    if scenario.workload is Workload.BATCH:
        scenario.jobs.append(
            scenario.job_caller.submit("bad", ("poison1", "fine1", "fine2"))
        )
    else:
        scenario.online.complete("poison1", ["e1", "e2"])
    injector.add_evidence(lambda: bool(history.crashes))


def _delay_responses(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    world = scenario.world
    for name in CONTROL_MESSAGES:
        world.switch.faults.reply_delays[name] = [
            DELAY_WITHIN_TIMEOUT_S,
            DELAY_BEYOND_TIMEOUT_S,
            0.0,
            DELAY_WITHIN_TIMEOUT_S,
        ]
        world.switch.faults.repeat[name] = 1
    delayed = world.network.delay_data_from(process, DELAY_BEYOND_TIMEOUT_S)
    injector.add_evidence(lambda: world.switch.faults.injected + delayed > 0)


def _cross_responses(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    """Sends earlier frames again, and a frame of another attempt."""
    written = 0
    for node in scenario.world.sidecars.values():
        subscribers = node.sidecar._subscribers._by_attempt
        for attempt_id, reqs in list(subscribers.items()):
            earlier = node.sidecar._registry.frames_from(attempt_id, 0)[:2]
            other = Frame("another-attempt", len(earlier), OTHER_RESPONSE)
            for req in reqs:
                for frame in (*earlier, other):
                    req.write(encode_frame(frame))
                    written += 1
    injector.add_evidence(lambda: written > 0)


def _partition_regions(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    world = scenario.world
    regions = frozenset(("west", "east"))
    world.network.partitioned.add(regions)
    world.clock.callLater(PARTITION_S, world.network.partitioned.discard, regions)
    injector.add_evidence(lambda: world.network.blocked_by_partition > 0)


def _make_list_stale(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    """Loses a backend server that the instance list still shows."""
    world = scenario.world
    world.live_list.lag_s = STALE_LAG_S
    lost = world.sidecars["s2"].process
    lost.lose_instance()
    injector.add_evidence(lambda: not lost.is_alive)


def _expect_log_expiry(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    """Adds the evidence; the fault is the log's short retention from the start."""
    world = scenario.world
    streams = {
        Workload.BATCH: ("jobs-000", "jobs-001"),
        Workload.ONLINE: ("config",),
        Workload.CONFIG: ("config",),
    }[scenario.workload]
    injector.add_evidence(lambda: any(world.has_expired(stream) for stream in streams))


def _pause_lease_holder(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    """Pauses the lease holder until after its lease has expired.

    The engine was started without the check of fencing tokens.
    """
    process.pause(PAUSE_S)
    injector.add_evidence(lambda: process.deferred_calls > 0 or not process.is_alive)


def _step_clock(
    injector: FaultInjector, process: SimProcess, scenario: Scenario
) -> None:
    for other in scenario.world.processes():
        other.wall_offset_s = -CLOCK_STEP_S
    process.wall_offset_s = CLOCK_STEP_S
    process.kill()
    scenario.world.replace_later(process, RESTART_S)
    injector.add_evidence(lambda: process.wall_offset_s != 0)


_INJECTIONS: dict[Fault, Callable[[FaultInjector, SimProcess, Scenario], None]] = {
    Fault.PROCESS_DEATH: _kill_process,
    Fault.INSTANCE_LOST: _lose_instance,
    Fault.ANSWER_LOST: _lose_responses,
    Fault.LOG_DOWN: _stop_log,
    Fault.LOG_SLOW: _slow_log,
    Fault.LOG_EXPIRY: _expect_log_expiry,
    Fault.HOLDER_PAUSED: _pause,
    Fault.SILENT_CONNECTION: _drop_connections,
    Fault.DUPLICATE_SUBMIT: _submit_twice,
    Fault.CONFLICTING_OPERATORS: _publish_concurrently,
    Fault.POISON_REQUEST: _submit_poison_request,
    Fault.LATE_ANSWER: _delay_responses,
    Fault.CROSSED_ANSWERS: _cross_responses,
    Fault.REGION_PARTITION: _partition_regions,
    Fault.STALE_LIST: _make_list_stale,
    Fault.IGNORES_FENCING: _pause_lease_holder,
    Fault.CLOCK_STEP: _step_clock,
}
