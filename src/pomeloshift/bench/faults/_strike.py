"""Makes each fault happen."""

from collections.abc import Callable

import attrs

from ...wire import Frame, encode_frame
from ._fault import Fault
from ._process import SimProcess
from ._scenario import Scenario
from ._step import Part
from ._world import World

RESTART_S = 1.0
OUTAGE_S = 4.0
SLOW_S = 6.0
SLOW_DELAY_S = 1.5
PAUSE_S = 8.0
IN_TIME_S = 1.2
TOO_LATE_S = 2.5
PARTITION_S = 5.0
STALE_LAG_S = 12.0
CLOCK_STEP_S = -3600.0
ANSWERS_LOST = 2
OTHER_ANSWER = b'data: {"choices": [{"text": " of another"}]}\n\n'
CONTROL_MESSAGES = ("ItemPull", "ItemResults", "SidecarReport", "ConfigPull")


@attrs.define
class Striker:
    """Strikes one fault and tells afterwards whether it really struck."""

    fault: Fault
    struck: bool = False
    _evidence: list[Callable[[], bool]] = attrs.field(factory=list)

    def strike(self, process: SimProcess, scenario: Scenario) -> None:
        """Makes the fault happen at the process that takes the step."""
        _STRIKES[self.fault](self, process, scenario)
        self.struck = True

    def has_struck(self) -> bool:
        """Tells whether the fault had its effect on something."""
        return self.struck and all(shown() for shown in self._evidence)

    def expect(self, shown: Callable[[], bool]) -> None:
        """Adds a sign without which the fault has not really struck."""
        self._evidence.append(shown)


def _die(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    process.kill()
    scenario.world.replace_later(process, RESTART_S)
    striker.expect(lambda: not process.alive)


def _vanish(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    # A step's answer leaves before the instance is lost.
    scenario.world.clock.callLater(0.03, process.vanish)
    scenario.world.replace_later(process, RESTART_S)
    striker.expect(lambda: not process.alive)


def _lose_answer(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    world.log.faults = attrs.evolve(world.log.faults, lost_answers=ANSWERS_LOST)
    for name in CONTROL_MESSAGES:
        world.switch.faults.lose_answers[name] = 1
    lost = world.network.drop_answers_of(process)
    striker.expect(
        lambda: world.log.lost_answers + world.switch.faults.struck + lost > 0
    )


def _stop_log(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    refused = world.log.refused
    world.log.faults = attrs.evolve(world.log.faults, is_down=True)
    world.clock.callLater(OUTAGE_S, _restore_log, world)
    striker.expect(lambda: world.log.refused > refused)


def _slow_log(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    before = world.watch.operations
    world.log.faults = attrs.evolve(world.log.faults, delay_s=SLOW_DELAY_S)
    world.clock.callLater(SLOW_S, _restore_log, world)
    striker.expect(lambda: world.watch.operations > before)


def _restore_log(world: World) -> None:
    world.log.faults = attrs.evolve(world.log.faults, is_down=False, delay_s=0.0)


def _pause(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    process.pause(PAUSE_S)
    striker.expect(lambda: process.held_back > 0 or not process.alive)


def _silence(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    silenced = 0
    for other in world.processes():
        if other is not process:
            silenced += world.network.silence(process, other)
            world.switch.silence(process.name, other.name)
    striker.expect(lambda: silenced + world.switch.faults.struck > 0)


def _submit_twice(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    if scenario.part is Part.BATCH:
        scenario.job_caller.resend(scenario.jobs[0])
        scenario.job_caller.resend(scenario.jobs[1])
        striker.expect(lambda: len(scenario.jobs[0].job_ids) >= 2)
    else:
        again = scenario.online.call_service("call1", ["e2", "e1"])
        striker.expect(lambda: again.ended_at is not None)


def _race(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    """Publishes on the same base again; the first rival has raced from the start."""
    rival = scenario.publish("late rival", "e2", 1)
    striker.expect(lambda: rival.is_settled and scenario.has_rival)


def _poison(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    history = scenario.world.history
    if scenario.part is Part.BATCH:
        scenario.jobs.append(
            scenario.job_caller.submit("bad", ("poison1", "fine1", "fine2"))
        )
    else:
        scenario.online.complete("poison1", ["e1", "e2"])
    striker.expect(lambda: bool(history.deaths))


def _answer_late(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    for name in CONTROL_MESSAGES:
        world.switch.faults.late[name] = [IN_TIME_S, TOO_LATE_S, 0.0, IN_TIME_S]
        world.switch.faults.repeat[name] = 1
    held = world.network.delay_answers_of(process, TOO_LATE_S)
    striker.expect(lambda: world.switch.faults.struck + held > 0)


def _cross(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    """Repeats earlier frames and mixes in those of another attempt."""
    written = 0
    for node in scenario.world.sidecars.values():
        subscribers = node.sidecar._subscribers._by_attempt
        for attempt_id, reqs in list(subscribers.items()):
            earlier = node.sidecar._registry.frames_from(attempt_id, 0)[:2]
            other = Frame("another-attempt", len(earlier), OTHER_ANSWER)
            for req in reqs:
                for frame in (*earlier, other):
                    req.write(encode_frame(frame))
                    written += 1
    striker.expect(lambda: written > 0)


def _cut(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    world = scenario.world
    regions = frozenset(("west", "east"))
    world.network.cut.add(regions)
    world.clock.callLater(PARTITION_S, world.network.cut.discard, regions)
    striker.expect(lambda: world.network.stopped_by_cut > 0)


def _stale(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    """Loses a backend server that the list goes on to show."""
    world = scenario.world
    world.live_list.lag_s = STALE_LAG_S
    lost = world.sidecars["s2"].process
    lost.vanish()
    striker.expect(lambda: not lost.alive)


def _expire(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    """The log was started with a short retention; the scenario outlives it."""
    world = scenario.world
    streams = {
        Part.BATCH: ("jobs-000", "jobs-001"),
        Part.ONLINE: ("config",),
        Part.CONFIG: ("config",),
    }[scenario.part]
    striker.expect(lambda: any(world.has_expired(stream) for stream in streams))


def _ignore_fencing(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    """The engine was started so; its holder is paused past its lease."""
    process.pause(PAUSE_S)
    striker.expect(lambda: process.held_back > 0 or not process.alive)


def _step_clock(striker: Striker, process: SimProcess, scenario: Scenario) -> None:
    for other in scenario.world.processes():
        other.wall_offset_s = -CLOCK_STEP_S
    process.wall_offset_s = CLOCK_STEP_S
    process.kill()
    scenario.world.replace_later(process, RESTART_S)
    striker.expect(lambda: process.wall_offset_s != 0)


_STRIKES: dict[Fault, Callable[[Striker, SimProcess, Scenario], None]] = {
    Fault.PROCESS_DEATH: _die,
    Fault.INSTANCE_LOST: _vanish,
    Fault.ANSWER_LOST: _lose_answer,
    Fault.LOG_DOWN: _stop_log,
    Fault.LOG_SLOW: _slow_log,
    Fault.LOG_EXPIRY: _expire,
    Fault.HOLDER_PAUSED: _pause,
    Fault.SILENT_CONNECTION: _silence,
    Fault.DUPLICATE_SUBMIT: _submit_twice,
    Fault.CONFLICTING_OPERATORS: _race,
    Fault.POISON_REQUEST: _poison,
    Fault.LATE_ANSWER: _answer_late,
    Fault.CROSSED_ANSWERS: _cross,
    Fault.REGION_PARTITION: _cut,
    Fault.STALE_LIST: _stale,
    Fault.IGNORES_FENCING: _ignore_fencing,
    Fault.CLOCK_STEP: _step_clock,
}
