"""The sidecar process, through which all work reaches a backend server's engines."""

from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
from loguru import logger
from twisted.internet.task import deferLater

from ..admission import Admission, AdmissionConfig
from ..attempts import AttemptRegistry
from ..config import ConfigHolder, ServiceConfig, ServiceKind
from ..errors import ErrorCode, ErrorReport, Ran
from ..membership import (
    Drain,
    DrainState,
    DrainStep,
    HeartbeatSender,
    HeartbeatTiming,
    PauseDetector,
)
from ..model import Instance, InstanceRole, LoadReport
from ..net import Clock
from ..net._control_client import ControlClient
from ..net._health import HealthApi
from ..net._list_client import LiveListClient
from ..net._periodic_tasks import PeriodicTasks, spawn
from ..net._prefix_root import PrefixRoot
from ..net._serve import Listener, serve
from ..settings import SidecarSettings
from ..wire import AttemptRequest, ConfigDocument, SidecarReport
from ._attempts_resource import AttemptsResource, Subscribers
from ._batch_puller import BatchPuller
from ._engine_client import EngineClient
from ._engine_executor import EngineExecutor
from ._frame_sink import FrameSink
from ._metrics import SidecarMetrics
from ._online_work import OnlineWork
from ._plain_executor import PlainExecutor
from ._reporter import Reporter

TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.25
LIST_INTERVAL_S = 2.0
REGISTRY_EXPIRY_INTERVAL_S = 1.0
ENGINE_CHECK_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
DEFAULT_CHANGE_INTERVAL_S = 0.1
MILLISECONDS_PER_S = 1000


class Sidecar:
    """Runs attempts and batch items on the engines of its backend server.

    ``list_client`` reads the platform's instance list.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        list_client: LiveListClient,
        reactor: Any,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._list_client = list_client
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._incarnation = int(clock.wall() * MILLISECONDS_PER_S)
        self._config = ConfigHolder()
        self._registry = AttemptRegistry(incarnation=self._incarnation)
        self._subscribers = Subscribers()
        self._sink = FrameSink(self._registry, self._subscribers.publish)
        self._control = ControlClient(settings.internal_key.encode(), reactor)
        self._reporter = Reporter(
            settings.place,
            HeartbeatSender(settings.name, _heartbeat_timing(settings), rng),
            self._control,
            clock,
            self._report,
            self._offer_config,
            self._begin_drain,
        )
        self._drain = Drain(linger_s=0.0)
        self._pause_detector = PauseDetector(settings.lease_s, clock.monotonic())
        self._is_engine_alive = True
        self._sequence = 0
        self._tasks = PeriodicTasks(reactor)
        self._executor_by_attempt: dict[str, EngineExecutor | PlainExecutor] = {}

    @property
    def config_version(self) -> int:
        """The version of the configuration in force at this sidecar."""
        return self._config.version

    @property
    def is_draining(self) -> bool:
        """Whether new work is rejected because of a drain."""
        return not self._drain.accepts_work

    async def start(self) -> None:
        """Starts the HTTP listener, the heartbeats and the other periodic tasks."""
        resource = AttemptsResource(
            self._registry,
            self._subscribers,
            self._clock,
            self._settings.internal_key,
            self._start_attempt,
            self._stop_attempt,
            self._refusal,
        ).resource
        metrics = SidecarMetrics(self._settings.name, self._report)
        health = HealthApi(self._unready_reason, metrics.render).resource
        root: Any = PrefixRoot({"/attempts": resource}, health)
        self.listener: Listener = serve(
            self._reactor, root, self._settings.host, self._settings.port
        )
        host = self._settings.reachable_host
        self.instance = Instance(
            self._settings.name,
            InstanceRole.BACKEND_SERVER,
            self._settings.place,
            f"{host}:{self.listener.port}",
            service=self._settings.service,
        )
        self._puller = BatchPuller(
            self.instance,
            self._incarnation,
            self._control,
            self._reporter.entries,
            self._clock,
            self._rng,
        )
        self._executors = self._make_executors()
        self._tasks.repeat_with_delay(self._tick)
        self._tasks.repeat(self._read_list, LIST_INTERVAL_S)
        self._tasks.repeat(self._expire, REGISTRY_EXPIRY_INTERVAL_S)
        self._tasks.repeat(self._check_engines, ENGINE_CHECK_INTERVAL_S)
        logger.info(
            "event=sidecar_started instance={} address={}",
            self.instance.name,
            self.instance.address,
        )

    async def drain(self) -> None:
        """Rejects new work, releases batch work and waits for running streams.

        Returns at the latest after the settings' ``drain_limit_s``.
        """
        self._apply_drain_steps(self._drain.begin(self._clock.monotonic()))
        deadline = self._clock.monotonic() + self._settings.drain_limit_s
        while self._drain.state is DrainState.DRAINING:
            now = self._clock.monotonic()
            if now >= deadline:
                break
            self._apply_drain_steps(self._drain.observe(self._count_open_work(), now))
            await deferLater(self._reactor, DRAIN_POLL_INTERVAL_S)
        logger.info(
            "event=drain_ended instance={} open={}",
            self.instance.name,
            self._count_open_work(),
        )

    async def stop(self) -> None:
        """Closes all connections; streams that still run are aborted."""
        self._tasks.stop()
        await self.listener.stop()
        await self._control.close()
        for executor in self._executors:
            await executor.close()

    def _unready_reason(self) -> str:
        return "the backend server is draining" if self.is_draining else ""

    def _make_executors(self) -> Sequence[EngineExecutor | PlainExecutor]:
        engines = self._settings.engines
        if self._settings.kind is ServiceKind.PLAIN:
            return [PlainExecutor(e.url, self._sink, self._reactor) for e in engines]
        return [
            EngineExecutor(
                engine.name,
                EngineClient(engine.url, self._reactor),
                Admission(AdmissionConfig()),
                self._puller,
                self._clock,
                self._sleep,
                self._on_engine_state_change,
                self._incarnation,
            )
            for engine in engines
        ]

    def _begin_drain(self) -> None:
        if self._drain.accepts_work:
            spawn(self.drain())

    def _apply_drain_steps(self, steps: Sequence[DrainStep]) -> None:
        for step in steps:
            match step:
                case DrainStep.ANNOUNCE:
                    logger.info("event=drain_started instance={}", self.instance.name)
                    self._reporter.changed(urgent=True)
                case DrainStep.RELEASE_WORK:
                    self._puller.stop()
                    for executor in self._engine_executors():
                        executor.release_batch()

    def _report(self) -> SidecarReport:
        self._sequence += 1
        return SidecarReport(
            self.instance,
            self._incarnation,
            self._sequence,
            self._config.version,
            self._load(),
            draining=self.is_draining,
            engine_alive=self._is_engine_alive,
            running=self._puller.running_leases,
        )

    def _load(self) -> LoadReport:
        load = _sum_loads(
            [executor.load() for executor in self._executors], self._sequence
        )
        return attrs.evolve(load, made_at_s=self._clock.monotonic())

    def _offer_config(self, document: ConfigDocument) -> None:
        if not self._config.offer(document.version, document.document):
            return
        logger.info(
            "event=config_applied instance={} version={}",
            self.instance.name,
            document.version,
        )
        service = self._service()
        if service is not None:
            for executor in self._engine_executors():
                executor.configure(service)
        self._reporter.changed()

    def _service(self) -> ServiceConfig | None:
        cfg = self._config.current
        return None if cfg is None else cfg.service(self._settings.service)

    def _refusal(self) -> ErrorReport | None:
        if self.is_draining:
            message = "the backend server is draining"
            return ErrorReport(ErrorCode.DRAINING, message, Ran.NO, 0.0)
        if not self._is_engine_alive:
            message = "the backend server's engine is unresponsive"
            return ErrorReport(ErrorCode.NO_BACKEND_SERVER, message, Ran.NO, 0.0)
        return None

    def _start_attempt(self, req: AttemptRequest) -> None:
        executor = min(self._executors, key=_placement_key)
        self._executor_by_attempt[req.attempt_id] = executor
        if isinstance(executor, PlainExecutor):
            executor.offer(req)
        else:
            executor.offer(OnlineWork(req, self._sink))

    def _stop_attempt(self, attempt_id: str) -> None:
        now = self._clock.monotonic()
        if self._registry.abandon(attempt_id, now):
            executor = self._executor_by_attempt.pop(attempt_id, None)
            if executor is not None:
                executor.withdraw(attempt_id)

    def _tick(self) -> float:
        if self._pause_detector.observe(self._clock.monotonic()):
            logger.warning("event=pause_noticed instance={}", self.instance.name)
            self._puller.drop_leases()
        for executor in self._engine_executors():
            executor.tick()
        self._puller.tick()
        self._reporter.tick()
        return TICK_INTERVAL_S if self._count_open_work() else IDLE_TICK_INTERVAL_S

    def _expire(self) -> None:
        self._registry.expire(self._clock.monotonic())
        running = set(self._registry.running)
        for attempt_id in set(self._executor_by_attempt) - running:
            del self._executor_by_attempt[attempt_id]

    async def _read_list(self) -> None:
        self._reporter.observe_list(await self._list_client.instances())

    async def _check_engines(self) -> None:
        for executor in self._engine_executors():
            await executor.check()

    def _on_engine_state_change(self) -> None:
        executors = self._engine_executors()
        is_alive = not all(executor.is_down for executor in executors)
        if is_alive != self._is_engine_alive:
            self._is_engine_alive = is_alive
            self._reporter.changed(urgent=True)

    async def _sleep(self, seconds: float) -> None:
        await deferLater(self._reactor, seconds)

    def _engine_executors(self) -> list[EngineExecutor]:
        return [
            executor
            for executor in self._executors
            if isinstance(executor, EngineExecutor)
        ]

    def _count_open_work(self) -> int:
        busy = sum(not executor.is_idle for executor in self._executors)
        return busy + (not self._puller.is_flushed)


def _placement_key(executor: EngineExecutor | PlainExecutor) -> tuple[bool, int]:
    is_down = isinstance(executor, EngineExecutor) and executor.is_down
    return is_down, executor.load().online_tokens


def _heartbeat_timing(settings: SidecarSettings) -> HeartbeatTiming:
    interval_s = settings.heartbeat_interval_s
    change_s = min(DEFAULT_CHANGE_INTERVAL_S, interval_s)
    return HeartbeatTiming(change_interval_s=change_s, idle_interval_s=interval_s)


def _sum_loads(loads: Sequence[LoadReport], sequence: int) -> LoadReport:
    return LoadReport(
        online_streams=sum(load.online_streams for load in loads),
        batch_streams=sum(load.batch_streams for load in loads),
        online_tokens=sum(load.online_tokens for load in loads),
        batch_tokens=sum(load.batch_tokens for load in loads),
        queued_online=sum(load.queued_online for load in loads),
        itl_s=max((load.itl_s for load in loads), default=0.0),
        capacity_tokens=sum(load.capacity_tokens for load in loads),
        sequence=sequence,
    )
