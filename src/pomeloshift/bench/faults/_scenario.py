"""The work of a cell, and the moment at which its step is reached."""

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
from ._orders import OrderHolders
from ._process import SimProcess
from ._step import PART_OF_STEP, Part, Step
from ._world import ZONE_A, ZONE_B, ZONE_C, World, configuration

WARM_UP_S = 1.0
LIMIT_S = 180.0
SETTLE_S = 4.0
LAST_S = 18.0
RESTART_S = 12.0
AFTER_FIRST_TOKEN_S = 0.5
ITEMS = 6

RECORD_OF_STEP: dict[Step, type] = {
    Step.UPLOAD: FileCreated,
    Step.SUBMIT_APPEND: JobCreated,
    Step.ACKNOWLEDGE: JobCreated,
    Step.ATTEMPT_START: AttemptStarted,
    Step.COMPLETION_APPEND: ItemCompleted,
    Step.CHECKPOINT: CheckpointPart,
}
MESSAGE_OF_STEP: dict[Step, type] = {Step.PULL: ItemPull, Step.RELAY: ConfigPull}

Strike = Callable[[SimProcess, "Scenario"], None]


class Scenario:
    """Starts a deployment and its work and calls ``strike`` once at the step.

    ``strike`` gets the process that takes the step.
    """

    def __init__(
        self,
        world: World,
        step: Step,
        strike: Strike,
        *,
        checks_fencing: bool = True,
        has_rival: bool = False,
    ) -> None:
        self.world = world
        self.step = step
        self.part = PART_OF_STEP[step]
        self.reached = False
        self.has_rival = has_rival
        self._strike = strike
        self._checks_fencing = checks_fencing
        self._codec = job_codec()
        self._publishing: list[tuple[Publication, SimProcess]] = []
        self.jobs: list[JobRecord] = []
        self.holders: OrderHolders | None = None
        self._calls = 12 if step is Step.DRAIN else 6

    def start(self) -> None:
        """Starts all processes, publishes a configuration and begins the work."""
        world = self.world
        world.start_entry("e1", ZONE_A)
        world.start_entry("e2", ZONE_C if self.part is not Part.BATCH else ZONE_B)
        for number, place in enumerate((ZONE_A, ZONE_B, ZONE_C), start=1):
            checks = self._checks_fencing
            world.start_sidecar(f"s{number}", place, checks_fencing=checks)
        if self.part is Part.ONLINE:
            world.start_plain("p1", ZONE_B)
            world.start_plain("p2", ZONE_C)
        self.online = OnlineCaller(world)
        self.job_caller = JobCaller(world, ["e1", "e2"])
        world.run(WARM_UP_S)
        self.publish("one", "e1", 0)
        world.run_until(self._is_configured, 10.0)
        world.after_event.append(self._sample_versions)
        self._watch()
        self._begin()

    def finish(self) -> None:
        """Lets the work end and writes down the state at the end."""
        world = self.world
        world.run_until(self._is_over, LIMIT_S)
        world.run(SETTLE_S)

    def outlive_the_log(self) -> None:
        """Lets all first records expire, restarts the entries and reads again."""
        world = self.world
        world.run(max(0.0, 2.5 * world.retention_s - world.clock.seconds()))
        world.restart_entries()
        world.run(RESTART_S)
        for job in self.world.history.jobs:
            self.job_caller.read_again(job)
        if self.part is Part.ONLINE:
            self.online.call_service("call1", ["e1", "e2"])
        world.run_until(self._is_over, LIMIT_S)
        world.run(SETTLE_S)

    def publish(self, note: str, entry: str, base: int) -> Publication:
        """Publishes a configuration at an entry."""
        publication = Publication(note, base)
        self.world.history.publications.append(publication)
        node = self.world.entries[entry]
        self._publishing.append((publication, node.process))
        service = node.entry.config
        self.world.go(
            self._publish(publication, service.publish(configuration(note), base, "op"))
        )
        return publication

    async def _publish(self, publication: Publication, publishing: Any) -> None:
        try:
            publication.version = await publishing
        except PomeloshiftError as exc:
            publication.conflict = exc.code.value == "config_conflict"
        publication.is_settled = True

    def reach(self, process: SimProcess) -> None:
        """Strikes, the first time that the step is reached."""
        if not self.reached:
            self.reached = True
            self._strike(process, self)

    # The work of each part.

    def _begin(self) -> None:
        match self.part:
            case Part.ONLINE:
                self._begin_online()
            case Part.BATCH:
                self._begin_batch()
            case Part.CONFIG:
                self._begin_config()
            case Part.ORDERS:
                self._begin_orders()

    def _begin_online(self) -> None:
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

    def _begin_batch(self) -> None:
        items = tuple(f"item{number}" for number in range(ITEMS))
        once = ("once0", "once1")
        self.jobs = [
            self.job_caller.submit("job1", items),
            self.job_caller.submit("job2", once, repeatable=False),
        ]
        if self.step is Step.CANCEL:
            markers = tuple(f"stop{number}" for number in range(30))
            self.jobs.append(self.job_caller.submit("job3", markers))
            self._when(lambda: bool(self.jobs[2].job_ids), self._cancel)
        if self.step is Step.TAKE_OVER:
            self._when(self._has_runs, self._take_owner_away)
        if self.step is Step.RESULT_READ:
            self._when(lambda: "completed" in self.jobs[0].statuses, self._read)

    def _begin_config(self) -> None:
        clock = self.world.clock
        clock.callLater(0.5, self.publish, "two", "e1", 1)
        if self.has_rival:
            clock.callLater(0.5, self.publish, "rival", "e2", 1)
        clock.callLater(1.2, self._publish_next)
        if self.step is Step.APPLY:
            entry = self.world.entries["e1"]
            entry.entry.config.on_change(lambda cfg, version: self.reach(entry.process))

    def _publish_next(self) -> None:
        """Publishes on top of the newest version, as soon as its entry knows it."""
        entry = self.world.entries["e1"].entry
        if entry.config.version < 2:
            self.world.clock.callLater(0.1, self._publish_next)
        else:
            self.publish("three", "e1", entry.config.version)

    def _begin_orders(self) -> None:
        node = self.world.sidecars["s1"]
        url = node.sidecar._settings.engines[0].url
        self.holders = OrderHolders(self.world, url, node.place, self._checks_fencing)
        holder = self.holders.first
        self._when(lambda: holder.sent >= 2, lambda: self.reach(holder.process))

    def _cancel(self) -> None:
        self.job_caller.cancel(self.jobs[2])
        self.reach(self._owner_of(self.jobs[2]))

    def _read(self) -> None:
        self.reach(self._owner_of(self.jobs[0]))

    def _take_owner_away(self) -> None:
        owner = self._owner_of(self.jobs[0])
        owner.kill()
        self.world.replace_later(owner, 3.0)
        others = [n.process for n in self.world.entries.values() if n.process.alive]
        self.world.clock.callLater(0.5, self.reach, others[0])

    def _owner_of(self, job: JobRecord) -> SimProcess:
        partition = int(job.job_ids[0].split("_")[1])
        for node in self.world.entries.values():
            if node.process.alive and partition in node.entry.jobs.runners:
                return node.process
        return next(iter(self.world.entries.values())).process

    def _has_runs(self) -> bool:
        return any(r.marker == "item0" for r in self.world.history.engine_runs)

    def _drain(self, name: str) -> None:
        node = self.world.sidecars[name]
        self.reach(node.process)
        assert node.engine is not None
        stops = self.world.history.planned_stops
        stops[node.engine.name] = self.world.clock.seconds()
        node.process.run(lambda: self.world.go(node.sidecar.drain()))
        self.world.mark_leaving(node.sidecar.instance)

    # When the step is reached.

    def _when(self, condition: Callable[[], bool], then: Callable[[], None]) -> None:
        if condition():
            then()
        else:
            self.world.clock.callLater(0.02, self._when, condition, then)

    def _watch(self) -> None:
        world = self.world
        before = world.watch.on_append
        after = world.watch.on_appended
        if self.step in RECORD_OF_STEP:
            hooks = after if self.step is Step.ACKNOWLEDGE else before
            hooks.append(self._watch_append)
        if self.step is Step.CONFIG_APPEND:
            before.append(self._watch_stream("config"))
        if self.step is Step.CALL_CLAIM:
            after.append(self._watch_stream("calls"))
        if self.step is Step.CALL_RUN:
            world.on_call.append(self.reach)
        if self.step in MESSAGE_OF_STEP:
            world.switch.on_request.append(self._watch_message)
        if self.step in (Step.RUN, Step.FIRST_TOKEN, Step.MID_STREAM):
            for node in world.sidecars.values():
                if node.engine is not None:
                    self._watch_engine(node.engine)

    def _watch_append(
        self, process: SimProcess, stream: str, payloads: Sequence[bytes]
    ) -> None:
        wanted = RECORD_OF_STEP[self.step]
        for payload in payloads:
            try:
                record = self._codec.decode(payload)
            except RecordError:
                continue
            if isinstance(record.body, wanted):
                self.reach(process)

    def _watch_stream(
        self, prefix: str
    ) -> Callable[[SimProcess, str, Sequence[bytes]], None]:
        def watch(process: SimProcess, stream: str, payloads: Sequence[bytes]) -> None:
            if stream.startswith(prefix):
                self.reach(process)

        return watch

    def _watch_message(
        self, source: SimProcess, target: SimProcess, message: Any
    ) -> None:
        if not isinstance(message, MESSAGE_OF_STEP[self.step]):
            return
        if self.step is Step.PULL and not any(job.job_ids for job in self.jobs):
            return
        self.reach(target)

    def _watch_engine(self, engine: Any) -> None:
        delay_s = {
            Step.RUN: 0.1,
            Step.FIRST_TOKEN: 0.0,
            Step.MID_STREAM: AFTER_FIRST_TOKEN_S,
        }[self.step]

        def later(marker: str) -> None:
            self.world.clock.callLater(delay_s, self.reach, engine.process)

        hooks = engine.on_submit if self.step is Step.RUN else engine.on_first_token
        hooks.append(later)

    # The end.

    def _is_configured(self) -> bool:
        world = self.world
        versions = [n.entry.config.version for n in world.entries.values()]
        versions += [n.sidecar.config_version for n in world.sidecars.values()]
        return min(versions) >= 1

    def _is_over(self) -> bool:
        history = self.world.history
        if not self.reached:
            return False
        if any(call.ended_at is None for call in history.online):
            return False
        if any(not job.is_ended for job in history.jobs):
            return False
        if any(p.alive and not one.is_settled for one, p in self._publishing):
            return False
        if self.part is Part.ONLINE and len(history.online) < self._calls:
            return False
        return self.part not in (Part.CONFIG, Part.ORDERS) or self._has_lasted()

    def _has_lasted(self) -> bool:
        return self.world.clock.seconds() > LAST_S

    def _sample_versions(self) -> None:
        for node in self.world.entries.values():
            self._note_version(node.process, node.entry.config.version)
        for side in self.world.sidecars.values():
            self._note_version(side.process, side.sidecar.config_version)

    def _note_version(self, process: SimProcess, version: int) -> None:
        if version != process.seen_version and process.alive:
            process.seen_version = version
            versions = self.world.history.versions
            versions.setdefault(f"{process.name}@{process.host}", []).append(version)

    def write_down_end(self) -> None:
        """Writes down which versions are in force and what still runs."""
        history = self.world.history
        for name, node in self.world.entries.items():
            cfg = node.entry.config.current
            if node.process.alive and cfg is not None:
                at_end = (node.entry.config.version, cfg.deployment)
                history.configs_at_end[name] = at_end
        for name, side in self.world.sidecars.items():
            if side.process.alive and side.engine is not None:
                history.running_at_end += side.engine.running
                version = side.sidecar.config_version
                history.sidecar_versions_at_end[name] = version
