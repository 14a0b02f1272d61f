"""Runs the items of the jobs that this entry owns."""

from typing import Any

import attrs
from twisted.internet.defer import CancelledError, Deferred

from ..direct import ConfigHolder, Engine, Route
from ..errors import PomeloshiftError
from ..jobs import (
    AfterRun,
    ItemFailed,
    ItemPolicy,
    ItemProgress,
    ItemSettled,
    Progress,
    WorkItem,
    WorkQueue,
)
from ..net._loops import Loops, spawn
from ._batch_front import queue_name
from ._batch_places import BatchPlaces
from ._blob_store import BlobStore
from ._engine_access import EngineAccess
from ._events import EventLog
from ._item_run import ItemRun, RunEnd
from ._job_log import JobLog
from ._timing import (
    BATCH_TICK_S,
    HAND_OVER_WAIT_S,
    ITEM_RETRY_S,
    ITEM_RUN_S,
    KEEP_WAIT_S,
    PROBE_S,
)

# Weight of a new measurement of how long an item runs.
SMOOTHING = 0.1
# A job is forgotten this long after its status may be asked for, which leaves room
# for clocks that differ.
FORGET_MARGIN_S = 30.0

Key = tuple[str, int]


@attrs.define
class BatchLoop:
    """Looks for places and items several times a second."""

    access: EngineAccess
    log: JobLog
    blobs: BlobStore
    queue: WorkQueue
    config: ConfigHolder
    places: BatchPlaces
    events: EventLog
    status_s: float
    _run_s: float = ITEM_RUN_S
    _runs: dict[Key, ItemRun] = attrs.field(factory=dict)
    _tasks: dict[Key, Deferred[Any]] = attrs.field(factory=dict)
    _progress: dict[Key, Progress] = attrs.field(factory=dict)
    _probed_at: dict[str, float] = attrs.field(factory=dict)
    _is_stopped: bool = False

    def start(self, loops: Loops) -> None:
        """Begins to look."""
        loops.repeat(self.tick, BATCH_TICK_S)

    @property
    def running(self) -> int:
        """The number of items at engines."""
        return len(self._tasks)

    def set_owned(self, owned: frozenset[int]) -> None:
        """Takes over jobs, or hands them over with the progress of their items."""
        if owned == self.queue.owned:
            return
        self.events.info(
            "work_reassigned",
            gained=",".join(map(str, sorted(owned - self.queue.owned))),
            lost=",".join(map(str, sorted(self.queue.owned - owned))),
        )
        self.queue.owned = owned
        for key, run in list(self._runs.items()):
            if not self.queue.owns(run.work.job):
                self._hand_over(key, run)

    def stop(self) -> None:
        """Hands over everything."""
        self._is_stopped = True
        for key, run in list(self._runs.items()):
            self._hand_over(key, run)
        self.queue.owned = frozenset()

    def tick(self) -> None:
        """Starts items where places are free and stops those of ended jobs."""
        if self._is_stopped or self.config.current is None:
            return
        now = self.access.now()
        self._stop_ended()
        routes = self._routes()
        self._give_up_expired(routes, now)
        deadlines = {name: route.job_deadline_s for name, route in routes.items()}
        pending = self.queue.pending(self.log.book, deadlines, now, self._run_s)
        self._probe(pending, now)
        self.yield_places()
        used: set[str] = set()
        for work in pending:
            route = routes.get(work.job.queue)
            if route is None:
                continue
            engine = self._choose(route, used, now)
            if engine is None:
                break
            used.add(engine.entry.id)
            self._begin(work, engine, route)
        self._forget_old(now)

    def _routes(self) -> dict[str, Route]:
        assert self.config.current is not None
        return {queue_name(route): route for route in self.config.current.routes}

    def _choose(self, route: Route, used: set[str], now: float) -> Engine | None:
        service = route.pick_service(self.access.random.random())
        if service is None:
            return None
        engines = [e for e in self.access.fleet.of(service) if e.entry.id not in used]
        sound = [e for e in engines if self.access.placement.is_sound(e, now)]
        return self.places.choose(sound, now)

    def _probe(self, pending: list[WorkItem], now: float) -> None:
        """Renews the loads of engines that batch work waits for or uses."""
        for engine in self.access.fleet.engines.values():
            if not engine.is_serving or not (pending or engine.batch):
                continue
            last = self._probed_at.get(engine.entry.id, float("-inf"))
            if engine.load_age(now) < PROBE_S or now - last < PROBE_S:
                continue
            self._probed_at[engine.entry.id] = now
            spawn(self.access.probe(engine))

    def yield_places(self) -> None:
        """Stops the items with the fewest events where places are short."""
        now = self.access.now()
        for engine in list(self.access.fleet.engines.values()):
            count = self.places.to_yield(engine, now)
            if count == 0:
                continue
            self.places.yielded(engine, now)
            here = [(k, r) for k, r in self._runs.items() if r.engine is engine]
            here.sort(key=lambda pair: _events_done(pair[1]))
            for key, run in here[:count]:
                self.events.info(
                    "item_yielded",
                    id=run.work.job.items[run.work.index].id,
                    engine=engine.entry.id,
                    occupancy=engine.occupancy(now),
                    event_id=_events_done(run),
                )
                until = now + ITEM_RETRY_S
                self.queue.defer(run.work.job, run.work.index, until)
                self._tasks[key].cancel()

    def _begin(self, work: WorkItem, engine: Engine, route: Route) -> None:
        key = (work.job.id, work.index)
        run = ItemRun(self.access, self.blobs, work, engine, self._progress.get(key))
        self.places.started(engine, self.access.now())
        self.queue.running.add(key)
        self._runs[key] = run
        self._tasks[key] = spawn(self._run(key, run, route))

    async def _run(self, key: Key, run: ItemRun, route: Route) -> None:
        began = self.access.now()
        begun_at_event = _events_done(run)
        item = run.work.job.items[run.work.index]
        try:
            end = await run.run()
        except CancelledError:
            self._keep_progress(key, run)
            raise
        except PomeloshiftError as exc:
            self.events.warn("item_not_run", id=item.id, why=exc.message)
            self.queue.defer(run.work.job, run.work.index, self.access.now() + 1.0)
            return
        finally:
            self._runs.pop(key, None)
            self._tasks.pop(key, None)
            self.queue.running.discard(key)
        self.events.info(
            "item_run",
            id=item.id,
            job=run.work.job.id,
            engine=run.engine.entry.id,
            end=end.value,
            status=run.status,
            why=run.why,
            events=_events_done(run),
            took_s=self.access.now() - began,
        )
        if end is RunEnd.WHOLE:
            assert run.progress is not None
            if begun_at_event == 0:
                self._run_s += SMOOTHING * (self.access.now() - began - self._run_s)
            self._settle(run.work, True, run.progress.text)
        elif end is RunEnd.ANSWERED:
            self._judge(run, route)
        else:
            self._keep_progress(key, run)
            delay_s = ITEM_RETRY_S if end is RunEnd.NOT_RUN else 0.0
            until = self.access.now() + delay_s
            self.queue.defer(run.work.job, run.work.index, until)

    def _judge(self, run: ItemRun, route: Route) -> None:
        job, index = run.work.job, run.work.index
        after = ItemPolicy(route.max_attempts).after(
            run.status, job.failures.get(index, 0)
        )
        if after is AfterRun.DEAD_LETTER:
            self._settle(run.work, False, b"")
            return
        if after is AfterRun.COUNT_FAILURE:
            spawn(self.log.append_within(ItemFailed(job.id, index), KEEP_WAIT_S))
        self.queue.defer(job, index, self.access.now() + ITEM_RETRY_S)

    def _settle(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        key = (work.job.id, work.index)
        self._progress.pop(key, None)
        # Until the log has it, the item counts as running.
        self.queue.running.add(key)
        done = spawn(self._keep_result(work, is_done, text))
        done.addBoth(lambda _: self.queue.running.discard(key))

    async def _keep_result(self, work: WorkItem, is_done: bool, text: bytes) -> None:
        """Keeps an item's output, and then the record that lists it."""
        ref = None
        if is_done:
            (ref,) = await self.blobs.put(work.job.id, [text], KEEP_WAIT_S)
        record = ItemSettled(work.job.id, work.index, is_done, ref)
        await self.log.append_within(record, KEEP_WAIT_S)

    async def _keep_handed_over(self, key: Key, progress: Progress) -> None:
        (ref,) = await self.blobs.put(key[0], [progress.text], HAND_OVER_WAIT_S)
        record = ItemProgress(key[0], key[1], progress.event_id, ref)
        await self.log.append_within(record, HAND_OVER_WAIT_S)

    def _keep_progress(self, key: Key, run: ItemRun) -> None:
        if run.progress is not None and run.work.index in run.work.job.pending:
            self._progress[key] = run.progress

    def _hand_over(self, key: Key, run: ItemRun) -> None:
        task = self._tasks.get(key)
        if task is not None:
            task.cancel()
        progress = self._progress.pop(key, None)
        if progress is not None:
            spawn(self._keep_handed_over(key, progress))

    def _stop_ended(self) -> None:
        for key, run in list(self._runs.items()):
            job = self.log.book.jobs.get(key[0])
            if job is None or job.is_ended or run.work.index not in job.pending:
                self._tasks[key].cancel()
                self._progress.pop(key, None)

    def _give_up_expired(self, routes: dict[str, Route], now: float) -> None:
        """Lists items as dead letters whose time or whose route is over."""
        for job in list(self.log.book.jobs.values()):
            if not job.is_open or not self.queue.owns(job):
                continue
            route = routes.get(job.queue)
            retention_s = route.item_retention_s if route else 0.0
            if retention_s <= 0 or now - job.accepted_at < retention_s:
                continue
            for index in sorted(job.pending):
                if (job.id, index) not in self.queue.running:
                    self.events.warn(
                        "item_given_up", id=job.items[index].id, job=job.id
                    )
                    self._settle(WorkItem(job, index, 0.0), False, b"")

    def _forget_old(self, now: float) -> None:
        """Removes the records of jobs that nobody may ask for any more."""
        for job in list(self.log.book.jobs.values()):
            age_s = now - job.accepted_at
            if age_s < self.status_s + FORGET_MARGIN_S or job.is_open:
                continue
            if self.queue.owns(job):
                self.events.info("job_forgotten", id=job.id, age_s=age_s)
                del self.log.book.jobs[job.id]
                self.log.remove(job.keys).addErrback(self._note_removal_failed)
                removals = self.blobs.remove_keys(job.blobs())
                self.blobs.writer.append(removals).done.addErrback(
                    self._note_removal_failed
                )

    def _note_removal_failed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self.events.warn("removal_failed", why=failure.value.message)


def _events_done(run: ItemRun) -> int:
    return run.progress.event_id if run.progress else 0
