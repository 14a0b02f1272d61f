"""The workload of a cell, and the detection that its step is reached."""

from collections.abc import Callable, Sequence
from typing import Any

from ...batch import (
    AttemptStarted,
    FileCreated,
    ItemCompleted,
    JobCreated,
    job_codec,
)
from ...errors import PomeloshiftError
from ...log import CheckpointPart, RecordError
from ...wire import ConfigPull, ItemPull
from ._callers import OnlineCaller
from ._history import JobRecord, Publication
from ._job_caller import JobCaller
from ._lease_holders import LeaseManager
from ._process import SimProcess
from ._step import WORKLOAD_BY_STEP, Step, Workload
from ._world import ZONE_A, ZONE_B, ZONE_C, World, configuration

WARM_UP_S = 1.0
TIME_LIMIT_S = 180.0
QUIESCE_S = 4.0
MIN_DURATION_S = 18.0
RESTART_S = 12.0
AFTER_FIRST_TOKEN_S = 0.5
ITEMS = 6

RECORD_BY_STEP: dict[Step, type] = {
    Step.UPLOAD: FileCreated,
    Step.SUBMIT_APPEND: JobCreated,
    Step.ACKNOWLEDGE: JobCreated,
    Step.ATTEMPT_START: AttemptStarted,
    Step.COMPLETION_APPEND: ItemCompleted,
    Step.CHECKPOINT: CheckpointPart,
}
MESSAGE_BY_STEP: dict[Step, type] = {Step.PULL: ItemPull, Step.RELAY: ConfigPull}

InjectFaults = Callable[[SimProcess, "Scenario"], None]


class Scenario:
    """Runs a deployment with its workload and injects the faults at the step.

    ``inject`` is called once, with the process that executes the step.
    """

    def __init__(
        self,
        world: World,
        step: Step,
        inject: InjectFaults,
        *,
        checks_fencing: bool = True,
        has_concurrent_operator: bool = False,
    ) -> None:
        self.world = world
        self.step = step
        self.workload = WORKLOAD_BY_STEP[step]
        self.reached = False
        self.has_concurrent_operator = has_concurrent_operator
        self._inject = inject
        self._checks_fencing = checks_fencing
        self._codec = job_codec()
        self._publishing: list[tuple[Publication, SimProcess]] = []
        self.jobs: list[JobRecord] = []
        self.holders: LeaseManager | None = None
        self._expected_calls = 12 if step is Step.DRAIN else 6

    def start(self) -> None:
        """Starts all processes, publishes a configuration and starts the workload."""
        world = self.world
        world.start_entry("e1", ZONE_A)
        world.start_entry(
            "e2", ZONE_C if self.workload is not Workload.BATCH else ZONE_B
        )
        for number, place in enumerate((ZONE_A, ZONE_B, ZONE_C), start=1):
            checks = self._checks_fencing
            world.start_sidecar(f"s{number}", place, checks_fencing=checks)
        if self.workload is Workload.ONLINE:
            world.start_plain_service("p1", ZONE_B)
            world.start_plain_service("p2", ZONE_C)
        self.online = OnlineCaller(world)
        self.job_caller = JobCaller(world, ["e1", "e2"])
        world.run(WARM_UP_S)
        self.publish("one", "e1", 0)
        world.run_until(self._is_configured, 10.0)
        world.after_event.append(self._sample_versions)
        self._install_hooks()
        self._start_workload()

    def finish(self) -> None:
        """Runs until the workload is finished, and then for `QUIESCE_S`."""
        world = self.world
        world.run_until(self._is_finished, TIME_LIMIT_S)
        world.run(QUIESCE_S)

    def run_past_log_expiry(self) -> None:
        """Runs until the first records expire, restarts the entries and reads again."""
        world = self.world
        world.run(max(0.0, 2.5 * world.retention_s - world.clock.seconds()))
        world.restart_entries()
        world.run(RESTART_S)
        for job in self.world.history.jobs:
            self.job_caller.read_again(job)
        if self.workload is Workload.ONLINE:
            self.online.call_service("call1", ["e1", "e2"])
        world.run_until(self._is_finished, TIME_LIMIT_S)
        world.run(QUIESCE_S)

    def publish(self, note: str, entry: str, base: int) -> Publication:
        """Starts to publish the successor of configuration ``base`` at an entry."""
        publication = Publication(note, base)
        self.world.history.publications.append(publication)
        node = self.world.entries[entry]
        self._publishing.append((publication, node.process))
        service = node.entry.config
        self.world.spawn(
            self._publish(publication, service.publish(configuration(note), base, "op"))
        )
        return publication

    async def _publish(self, publication: Publication, publishing: Any) -> None:
        try:
            publication.version = await publishing
        except PomeloshiftError as exc:
            publication.conflict = exc.code.value == "config_conflict"
        publication.is_resolved = True

    def reach_step(self, process: SimProcess) -> None:
        """Injects the faults on the first call; later calls have no effect."""
        if not self.reached:
            self.reached = True
            self._inject(process, self)

    # The workloads.

    def _start_workload(self) -> None:
        match self.workload:
            case Workload.ONLINE:
                self._start_online()
            case Workload.BATCH:
                self._start_batch()
            case Workload.CONFIG:
                self._start_config()
            case Workload.ENGINE_COMMANDS:
                self._start_engine_commands()

    def _start_online(self) -> None:
        for number in range(5):
            delay_s = 0.3 * number
            marker = f"req{number}"
            entries = ["e1", "e2"] if number % 2 else ["e2", "e1"]
            self.world.clock.callLater(delay_s, self.online.complete, marker, entries)
        self.world.clock.callLater(0.5, self.online.call_service, "call1", ["e1", "e2"])
        if self.step is Step.DRAIN:
            self.world.clock.callLater(1.0, self._drain, "s1")
            for number in range(5, 11):
                delay_s = 4.5 + 0.2 * (number - 5)
                self.world.clock.callLater(
                    delay_s, self.online.complete, f"req{number}", ["e1", "e2"]
                )

    def _start_batch(self) -> None:
        items = tuple(f"item{number}" for number in range(ITEMS))
        once = ("once0", "once1")
        self.jobs = [
            self.job_caller.submit("job1", items),
            self.job_caller.submit("job2", once, is_idempotent=False),
        ]
        if self.step is Step.CANCEL:
            markers = tuple(f"stop{number}" for number in range(30))
            self.jobs.append(self.job_caller.submit("job3", markers))
            self._call_when(lambda: bool(self.jobs[2].job_ids), self._cancel)
        if self.step is Step.TAKE_OVER:
            self._call_when(self._has_runs, self._kill_owner)
        if self.step is Step.RESULT_READ:
            self._call_when(
                lambda: "completed" in self.jobs[0].statuses, self._reach_result_read
            )

    def _start_config(self) -> None:
        clock = self.world.clock
        clock.callLater(0.5, self.publish, "two", "e1", 1)
        if self.has_concurrent_operator:
            clock.callLater(0.5, self.publish, "rival", "e2", 1)
        clock.callLater(1.2, self._publish_next)
        if self.step is Step.APPLY:
            entry = self.world.entries["e1"]
            entry.entry.config.on_change(
                lambda cfg, version: self.reach_step(entry.process)
            )

    def _publish_next(self) -> None:
        """Publishes on the newest version once the entry has applied version 2."""
        entry = self.world.entries["e1"].entry
        if entry.config.version < 2:
            self.world.clock.callLater(0.1, self._publish_next)
        else:
            self.publish("three", "e1", entry.config.version)

    def _start_engine_commands(self) -> None:
        node = self.world.sidecars["s1"]
        url = node.sidecar._settings.engines[0].url
        self.holders = LeaseManager(self.world, url, node.place, self._checks_fencing)
        holder = self.holders.first
        self._call_when(
            lambda: holder.sent >= 2, lambda: self.reach_step(holder.process)
        )

    def _cancel(self) -> None:
        self.job_caller.cancel(self.jobs[2])
        self.reach_step(self._owner_of(self.jobs[2]))

    def _reach_result_read(self) -> None:
        self.reach_step(self._owner_of(self.jobs[0]))

    def _kill_owner(self) -> None:
        owner = self._owner_of(self.jobs[0])
        owner.kill()
        self.world.replace_later(owner, 3.0)
        others = [n.process for n in self.world.entries.values() if n.process.is_alive]
        self.world.clock.callLater(0.5, self.reach_step, others[0])

    def _owner_of(self, job: JobRecord) -> SimProcess:
        partition = int(job.job_ids[0].split("_")[1])
        for node in self.world.entries.values():
            if node.process.is_alive and partition in node.entry.jobs.runners:
                return node.process
        return next(iter(self.world.entries.values())).process

    def _has_runs(self) -> bool:
        return any(r.marker == "item0" for r in self.world.history.engine_runs)

    def _drain(self, name: str) -> None:
        node = self.world.sidecars[name]
        self.reach_step(node.process)
        assert node.engine is not None
        stops = self.world.history.planned_stops
        stops[node.engine.name] = self.world.clock.seconds()
        node.process.run(lambda: self.world.spawn(node.sidecar.drain()))
        self.world.mark_leaving(node.sidecar.instance)

    # Detection of the step.

    def _call_when(
        self, condition: Callable[[], bool], action: Callable[[], None]
    ) -> None:
        if condition():
            action()
        else:
            self.world.clock.callLater(0.02, self._call_when, condition, action)

    def _install_hooks(self) -> None:
        world = self.world
        before = world.log_hooks.on_append
        after = world.log_hooks.on_appended
        if self.step in RECORD_BY_STEP:
            hooks = after if self.step is Step.ACKNOWLEDGE else before
            hooks.append(self._on_append)
        if self.step is Step.CONFIG_APPEND:
            before.append(self._hook_for_stream("config"))
        if self.step is Step.CALL_CLAIM:
            after.append(self._hook_for_stream("calls"))
        if self.step is Step.CALL_RUN:
            world.on_call.append(self.reach_step)
        if self.step in MESSAGE_BY_STEP:
            world.switch.on_request.append(self._on_message)
        if self.step in (Step.RUN, Step.FIRST_TOKEN, Step.MID_STREAM):
            for node in world.sidecars.values():
                if node.engine is not None:
                    self._hook_engine(node.engine)

    def _on_append(
        self, process: SimProcess, stream: str, payloads: Sequence[bytes]
    ) -> None:
        wanted = RECORD_BY_STEP[self.step]
        for payload in payloads:
            try:
                record = self._codec.decode(payload)
            except RecordError:
                continue
            if isinstance(record.body, wanted):
                self.reach_step(process)

    def _hook_for_stream(
        self, prefix: str
    ) -> Callable[[SimProcess, str, Sequence[bytes]], None]:
        def hook(process: SimProcess, stream: str, payloads: Sequence[bytes]) -> None:
            if stream.startswith(prefix):
                self.reach_step(process)

        return hook

    def _on_message(self, source: SimProcess, target: SimProcess, message: Any) -> None:
        if not isinstance(message, MESSAGE_BY_STEP[self.step]):
            return
        if self.step is Step.PULL and not any(job.job_ids for job in self.jobs):
            return
        self.reach_step(target)

    def _hook_engine(self, engine: Any) -> None:
        delay_s = {
            Step.RUN: 0.1,
            Step.FIRST_TOKEN: 0.0,
            Step.MID_STREAM: AFTER_FIRST_TOKEN_S,
        }[self.step]

        def schedule_reach(marker: str) -> None:
            self.world.clock.callLater(delay_s, self.reach_step, engine.process)

        hooks = engine.on_submit if self.step is Step.RUN else engine.on_first_token
        hooks.append(schedule_reach)

    # The end of the run.

    def _is_configured(self) -> bool:
        world = self.world
        versions = [n.entry.config.version for n in world.entries.values()]
        versions += [n.sidecar.config_version for n in world.sidecars.values()]
        return min(versions) >= 1

    def _is_finished(self) -> bool:
        history = self.world.history
        if not self.reached:
            return False
        if any(call.ended_at is None for call in history.online):
            return False
        if any(not job.is_finished for job in history.jobs):
            return False
        if any(
            p.is_alive and not published.is_resolved
            for published, p in self._publishing
        ):
            return False
        if (
            self.workload is Workload.ONLINE
            and len(history.online) < self._expected_calls
        ):
            return False
        return (
            self.workload not in (Workload.CONFIG, Workload.ENGINE_COMMANDS)
            or self._has_run_long_enough()
        )

    def _has_run_long_enough(self) -> bool:
        return self.world.clock.seconds() > MIN_DURATION_S

    def _sample_versions(self) -> None:
        for node in self.world.entries.values():
            self._record_version(node.process, node.entry.config.version)
        for server in self.world.sidecars.values():
            self._record_version(server.process, server.sidecar.config_version)

    def _record_version(self, process: SimProcess, version: int) -> None:
        if version != process.recorded_version and process.is_alive:
            process.recorded_version = version
            versions = self.world.history.versions
            versions.setdefault(f"{process.name}@{process.host}", []).append(version)

    def record_final_state(self) -> None:
        """Records the applied configuration versions and the work that still runs."""
        history = self.world.history
        for name, node in self.world.entries.items():
            cfg = node.entry.config.current
            if node.process.is_alive and cfg is not None:
                at_end = (node.entry.config.version, cfg.deployment)
                history.configs_at_end[name] = at_end
        for name, server in self.world.sidecars.items():
            if server.process.is_alive and server.engine is not None:
                history.running_at_end += server.engine.running
                version = server.sidecar.config_version
                history.sidecar_versions_at_end[name] = version
