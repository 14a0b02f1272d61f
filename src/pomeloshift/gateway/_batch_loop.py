"""Runs batch items on the engines that this gateway owns."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import CancelledError, Deferred

from ..dispatch import Engine, Route
from ..errors import PomeloshiftError
from ..jobs import (
    AfterRun,
    BatchSlots,
    ItemKey,
    ItemPolicy,
    ItemRoutes,
    Ownership,
    Progress,
    Share,
    WorkItem,
    WorkQueue,
    claim_of,
)
from ..net._periodic_tasks import PeriodicTasks, spawn
from ._blob_store import BlobStore
from ._crash_log import CrashLog
from ._engine_access import EngineAccess
from ._events import EventLog
from ._item_run import ItemRun, RunEnd
from ._item_workspace import item_workspace
from ._item_writer import ItemWriter
from ._job_cleaner import JobCleaner
from ._job_log import JobLog
from ._part_trials import PartTrials, crash_keys
from ._timing import (
    BATCH_STALL_GAPS,
    BATCH_STALL_OBJECTIVES,
    BATCH_STALL_S,
    BATCH_TICK_S,
    HOLD_STOPPED_S,
    ITEM_RUN_S,
    ITEM_STORE_RETRY_S,
    PROBE_S,
)
from ._usable_engines import usable_engines

# Weight of a new sample in the moving average of an item's run time.
SMOOTHING = 0.1


@attrs.define
class BatchLoop:
    """Fills the free slots of this gateway's engines with batch items.

    Ownership assigns each engine's batch work to one gateway. No item starts while
    ``may_start`` returns false.
    """

    access: EngineAccess
    log: JobLog
    blobs: BlobStore
    queue: WorkQueue
    item_writer: ItemWriter
    cleaner: JobCleaner
    ownership: Ownership
    routes: ItemRoutes
    slots: BatchSlots
    crashes: CrashLog
    events: EventLog
    may_start: Callable[[], bool] = lambda: True
    _run_s: float = ITEM_RUN_S
    _event_s: float = 0.0
    _runs: dict[ItemKey, ItemRun] = attrs.field(factory=dict)
    _tasks: dict[ItemKey, Deferred[Any]] = attrs.field(factory=dict)
    _progress: dict[ItemKey, Progress] = attrs.field(factory=dict)
    _probed_at: dict[str, float] = attrs.field(factory=dict)
    _part_trials: PartTrials = attrs.field(init=False)
    _is_stopped: bool = False

    @_part_trials.default
    def _new_part_trials(self) -> PartTrials:
        return PartTrials(self.crashes, self.events)

    def start(self, periodic_tasks: PeriodicTasks) -> None:
        """Starts the periodic search for free slots and pending items."""
        periodic_tasks.repeat(self.tick, BATCH_TICK_S)

    @property
    def running(self) -> int:
        """The number of items that run at engines."""
        return len(self._tasks)

    def set_members(self, zones: dict[str, str]) -> None:
        """Sets the gateways that share the engines; items already running continue.

        ``zones`` holds each gateway's availability zone by its IP address.
        """
        if self.ownership.set_members(zones):
            self.events.info("members_changed", members=",".join(sorted(zones)))

    def stop_starting(self) -> None:
        """Starts no more items; those that run at engines continue."""
        self._is_stopped = True
        for key in list(self.queue.reserved):
            self._release(key)

    def hand_off(self) -> None:
        """Stops all items and hands off their progress to other gateways."""
        for key in list(self._runs):
            self._tasks[key].cancel()
            self._release(key)

    def tick(self) -> None:
        """Starts items in free slots and stops the items of ended jobs."""
        if self.routes.config.current is None:
            return
        now = self.access.now()
        self._stop_ended()
        self._stop_duplicates(now)
        # Includes the runs whose own claim has become durable since the last pass.
        self._stop_superseded(list(self._runs.items()))
        engines = self._own_engines()
        self.slots.observe(engines, now)
        self.preempt_items()
        self._release_reserved(now)
        if self._is_stopped:
            return
        self.cleaner.tick(now)
        if self.may_start():
            self._start_items(engines, self.routes.by_queue(), now)

    def _own_engines(self) -> list[Engine]:
        return [
            engine
            for engine in self.access.fleet.engines.values()
            if engine.is_serving
            and self.ownership.owns(engine.record.id, engine.record.zone)
        ]

    def _start_items(
        self, engines: list[Engine], routes: dict[str, Route], now: float
    ) -> None:
        healthy = [e for e in engines if self.access.placement.is_healthy(e, now)]
        free = {e.record.id: self._free_slots(e, now) for e in healthy}
        open_engines = [e for e in healthy if free[e.record.id] > 0]
        has_late = any(run.work.is_late for run in self._runs.values())
        if not open_engines and not has_late:
            return
        deadlines = {name: route.job_deadline_s for name, route in routes.items()}
        pending = self.queue.pending(
            self.log.table,
            deadlines,
            now,
            self._event_s,
            self._run_s,
            self._shares(routes),
            usable_engines(open_engines, routes),
            {
                e.record.software
                for e in self.access.fleet.engines.values()
                if e.is_serving
            },
        )
        if not self.log.follower.is_reachable:
            pending = [work for work in pending if not self._must_claim(work)]
        if pending:
            self._probe(healthy, now)
        has_preempted = False
        trials = self._part_trials
        trials.begin_pass(open_engines, self.access.fleet.engines.values())
        for work in trials.without_held(pending):
            route = self.routes.of(work.job, work.index)
            service = self._pick_service(route)
            fitting = self.access.capacity.fitting(open_engines, service, work.tokens)
            if route is None or not fitting:
                if not work.is_late and not has_preempted:
                    has_preempted = True
                    self._stop_late(service, now)
                continue
            is_trial = self.crashes.is_quarantined(crash_keys(work))
            if is_trial and not trials.take(work):
                continue
            chosen = work.choose(
                {e.record.id: free[e.record.id] for e in fitting},
                {e.record.id: e.record.software for e in fitting},
            )
            engine = self.access.fleet.engines[chosen]
            free[engine.record.id] -= 1
            if free[engine.record.id] == 0:
                open_engines.remove(engine)
            self._begin(work, engine, route, is_trial)
            if not open_engines:
                break

    def _must_claim(self, work: WorkItem) -> bool:
        """Whether an item has progress, so that a claim in the store precedes its run.

        Without the store the claim fails, and the slot that waits for it stays empty.
        """
        return work.key in self._progress or work.index in work.job.progress

    def _free_slots(self, engine: Engine, now: float) -> int:
        """Returns how many items may be started at an engine in this pass."""
        free = self.slots.free(engine, now)
        if engine.limit is None:
            return free
        return min(free, int(self.access.limit_wait_s(engine) <= 0))

    def _shares(self, routes: dict[str, Route]) -> dict[str, Share]:
        """Returns the share of each queue's items that this gateway's engines run."""
        shares = {}
        for name, route in routes.items():
            engines = [
                engine.record
                for service in route.services
                for engine in self.access.fleet.of(service)
            ]
            engines.sort(key=lambda record: record.id)
            own = (
                position
                for position, record in enumerate(engines)
                if self.ownership.owns(record.id, record.zone)
            )
            if engines:
                shares[name] = Share(len(engines), frozenset(own))
        return shares

    def _pick_service(self, route: Route | None) -> str | None:
        if route is None:
            return None
        return route.pick_service(self.access.random.random())

    def _stop_late(self, service: str | None, now: float) -> None:
        """Stops a late item to free a slot for one that can still finish in time.

        A slot is of no use where the engine's limit allows no request.
        """
        for key, run in self._runs.items():
            is_fitting = run.engine.record.service == service
            if not run.work.is_late or not is_fitting:
                continue
            if self.access.limit_wait_s(run.engine) <= 0:
                self._stop(key, run, now, "late")
                return

    def _probe(self, engines: list[Engine], now: float) -> None:
        """Probes engines whose load no response has reported for `PROBE_S`."""
        for engine in engines:
            last = self._probed_at.get(engine.record.id, float("-inf"))
            if engine.load_age(now) >= PROBE_S and now - last >= PROBE_S:
                self._probed_at[engine.record.id] = now
                spawn(self.access.probe(engine))

    def preempt_items(self) -> None:
        """Preempts items at engines that have more requests than slots.

        Late items are preempted first, then those with the fewest events.
        """
        now = self.access.now()
        # Each changed heartbeat calls this: engines without own items are passed over.
        for engine in dict.fromkeys(run.engine for run in self._runs.values()):
            if self.access.fleet.engines.get(engine.record.id) is not engine:
                continue
            count = self.slots.items_to_preempt(engine, now)
            if count == 0:
                continue
            self.slots.record_preempted(engine, now)
            runs = [(k, r) for k, r in self._runs.items() if r.engine is engine]
            runs.sort(key=lambda pair: (not pair[1].work.is_late, _events(pair[1])))
            for key, run in runs[:count]:
                self._stop(key, run, now, "slot needed")

    def _stop_duplicates(self, now: float) -> None:
        """Stops items that another gateway claimed at the same time.

        The gateway with the lowest name runs the item.
        """
        for key, run in list(self._runs.items()):
            claimants = self.slots.loads.claimants(claim_of(*key))
            if any(name < self.slots.name for name in claimants):
                self._stop(key, run, now, "claimed by another gateway")
                self.queue.reserved.pop(key, None)

    def job_changed(self, job_id: str) -> None:
        """Stops items of a job that another gateway has resumed."""
        self._stop_superseded(
            [(key, run) for key, run in self._runs.items() if key[0] == job_id]
        )

    def _stop_superseded(self, runs: list[tuple[ItemKey, ItemRun]]) -> None:
        now = self.access.now()
        for key, run in runs:
            if self._is_superseded(key, run):
                self._stop(key, run, now, "resumed by another gateway")
                self.queue.reserved.pop(key, None)

    def _is_superseded(self, key: ItemKey, run: ItemRun) -> bool:
        job = self.log.table.jobs.get(key[0])
        claim = job.claims.get(key[1]) if job is not None else None
        # Until the run's own claim is durable, it may be the later one.
        if claim is None or run.is_claiming:
            return False
        return claim.supersedes(self.queue.name, run.claim_offset)

    def _stop(self, key: ItemKey, run: ItemRun, now: float, why: str) -> None:
        """Stops an item.

        If it has made progress, this gateway reserves it for `HOLD_STOPPED_S`, to
        resume it before other gateways can.
        """
        self.events.info(
            "item_yielded",
            id=run.work.job.items[run.work.index].id,
            job=run.work.job.id,
            engine=run.engine.record.id,
            why=why,
            occupancy=run.engine.occupancy(now),
            batch=run.engine.batch,
            peers_batch=run.engine.peers.batch,
            event_id=_events(run),
        )
        self._tasks[key].cancel()
        if key in self._progress:
            self.queue.reserved[key] = now + HOLD_STOPPED_S

    def _release_reserved(self, now: float) -> None:
        for key, until in list(self.queue.reserved.items()):
            if until <= now:
                self._release(key)

    def _release(self, key: ItemKey) -> None:
        """Lets other gateways resume an item after the progress made here."""
        self.queue.reserved.pop(key, None)
        progress = self._progress.pop(key, None)
        if progress is not None:
            self.item_writer.hand_off(key, progress)

    def _begin(
        self, work: WorkItem, engine: Engine, route: Route, is_trial: bool
    ) -> None:
        key = work.key
        self.queue.reserved.pop(key, None)
        claim = work.job.claims.get(work.index)
        run = ItemRun(
            self.access,
            self.blobs,
            work,
            engine,
            self._progress.get(key),
            self.item_writer.claim,
            self.crashes,
            crash_keys(work),
            is_trial,
            _stall_s(route),
            claim_offset=claim.offset if claim is not None else -1,
            workspace=item_workspace(work.job, self.routes.config.current),
            may_start=self.may_start,
        )
        self.events.info(
            "item_started",
            id=work.job.items[work.index].id,
            job=work.job.id,
            engine=engine.record.id,
            version=engine.record.version,
            occupancy=engine.occupancy(self.access.now()),
            peak=self.slots.peak(engine),
            is_late=work.is_late,
            event_id=work.job.events_done.get(work.index, 0),
        )
        self.queue.running.add(key)
        self.access.capacity.take_item(engine, work.tokens)
        self.access.charge_limit(engine)
        self._runs[key] = run
        self._tasks[key] = spawn(self._run(key, run, route))

    async def _run(self, key: ItemKey, run: ItemRun, route: Route) -> None:
        began = self.access.now()
        item = run.work.job.items[run.work.index]
        try:
            end = await run.run()
        except CancelledError:
            self._save_progress(key, run)
            self.events.metrics.observe_item_run("stopped", self.access.now() - began)
            self.events.info(
                "item_stopped",
                id=item.id,
                job=run.work.job.id,
                engine=run.engine.record.id,
                events=_events(run),
                took_s=self.access.now() - began,
            )
            raise
        except PomeloshiftError as exc:
            self.events.warn("item_not_run", id=item.id, why=exc.message)
            self.queue.defer(key, self.access.now() + ITEM_STORE_RETRY_S)
            return
        finally:
            run.engine.release_slot(run.work.tokens)
            self._runs.pop(key, None)
            self._tasks.pop(key, None)
            self.queue.running.discard(key)
        self.events.metrics.observe_item_run(end.value, self.access.now() - began)
        self.events.info(
            "item_run",
            id=item.id,
            job=run.work.job.id,
            engine=run.engine.record.id,
            end=end.value,
            status=run.status,
            why=run.why,
            resumed_after=run.resumed_after,
            events=_events(run),
            took_s=self.access.now() - began,
        )
        if end is RunEnd.COMPLETE:
            assert run.progress is not None
            if run.resumed_after == 0:
                self._update_run_times(self.access.now() - began, run.progress.event_id)
            self._progress.pop(key, None)
            self.item_writer.write_result(run.work, True, run.progress.text)
        elif end is RunEnd.ANSWERED:
            self._after_failure(run, route)
        else:
            self._save_progress(key, run)
            now = self.access.now()
            if end is RunEnd.NOT_RUN:
                self.queue.record_rejection(key, run.engine.record.id, now)
            else:
                has_progressed = _events(run) > run.resumed_after
                self.queue.record_broken_run(key, has_progressed, now)
        if end is not RunEnd.COMPLETE and run.is_claimed:
            # Other gateways may have a better engine for the item.
            self.item_writer.release(key)

    def _update_run_times(self, took_s: float, events: int) -> None:
        self._run_s += SMOOTHING * (took_s - self._run_s)
        self._event_s += SMOOTHING * (took_s / max(1, events) - self._event_s)

    def _after_failure(self, run: ItemRun, route: Route) -> None:
        job, index = run.work.job, run.work.index
        engine = run.engine.record
        engines = len(self.access.fleet.of(engine.service))
        failed_at = [*job.failures.get(index, ()), engine.id]
        after = ItemPolicy(route.max_attempts, engines).after(run.status, failed_at)
        if after is AfterRun.DEAD_LETTER:
            self._progress.pop(run.work.key, None)
            self.item_writer.write_result(run.work, False, b"")
            return
        if after is AfterRun.COUNT_FAILURE:
            self.item_writer.record_failure(run.work.key, engine.id)
        self.queue.record_rejection(run.work.key, engine.id, self.access.now())

    def _save_progress(self, key: ItemKey, run: ItemRun) -> None:
        if run.progress is None:
            self._progress.pop(key, None)
        elif run.work.index in run.work.job.pending:
            self._progress[key] = run.progress
            run.work.job.events_done[run.work.index] = run.progress.event_id
            run.work.job.resumable_at[run.work.index] = run.progress.software

    def _stop_ended(self) -> None:
        for key in list(self._runs):
            if self._is_finished(key):
                self._tasks[key].cancel()
        for key in self.queue.reserved.keys() | self._progress.keys():
            if self._is_finished(key):
                self.queue.reserved.pop(key, None)
                self._progress.pop(key, None)

    def _is_finished(self, key: ItemKey) -> bool:
        job = self.log.table.jobs.get(key[0])
        return job is None or job.is_ended or key[1] not in job.pending


def _stall_s(route: Route) -> float:
    """Returns the pause in a run that slow but sound engines do not make."""
    return max(
        BATCH_STALL_S,
        BATCH_STALL_GAPS * route.event_gap_s,
        BATCH_STALL_OBJECTIVES * route.objective_s,
    )


def _events(run: ItemRun) -> int:
    return run.progress.event_id if run.progress else 0
