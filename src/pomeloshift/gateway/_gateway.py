"""The gateway of a deployment on the users' platform."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError

from ..appends import CallPace
from ..dispatch import (
    ConfigHolder,
    EngineRecord,
    Fleet,
    OnlineAdmission,
    RetryAfter,
    ServingConfig,
    StorePath,
)
from ..http1 import (
    Client,
    ConnectionPool,
    Exchange,
    PoolConfig,
)
from ..jobs import BatchSlots, ItemRoutes, Ownership, WorkQueue
from ..net._periodic_tasks import PeriodicTasks
from ..platform import (
    CALL_TIMEOUT_S,
    CONFIG_TOPIC,
    ENGINES_TOPIC,
    READY_PATH,
    PlatformSettings,
    StoreClient,
)
from ..workspaces import ConfigLease, KeyCheck
from . import _blob_store, _crash_log, _job_log, _peer_directory, _stream_log
from ._batch_api import BatchApi
from ._batch_loop import BatchLoop
from ._blob_store import BlobStore
from ._capacity_report import CapacityReport
from ._config_reader import ConfigReader
from ._crash_log import CrashLog
from ._engine_access import EngineAccess
from ._engine_capacity import new_capacity
from ._engine_list import EngineList
from ._events import EventLog
from ._item_writer import ItemWriter
from ._job_cleaner import JobCleaner
from ._job_log import JobLog
from ._log_writers import LogWriters
from ._members import Members
from ._memory import caller_budget, caller_listener, side_listener
from ._metrics import GatewayMetrics
from ._online_service import OnlineService
from ._peer_directory import PeerDirectory
from ._peer_exchange import PeerAddress, PeerExchange
from ._refusal import refuse
from ._request_dispatcher import RequestDispatcher
from ._sleep import sleep
from ._store_link import StoreLink
from ._store_relay import StoreRelay
from ._stream_log import StreamLog
from ._timing import (
    CAPACITY_TICK_S,
    CLOSE_MARGIN_S,
    DIRECT_PROBE_S,
    DRAIN_TICK_S,
    HAND_OFF_S,
    LAST_REQUEST_TICKS,
    LEAVE_ROTATION_S,
    MEMBERS_TICK_S,
    METRICS_PORT,
    PEER_REFRESH_S,
    PEER_TICK_S,
)
from ._topic_follower import TopicFollower, TopicHandlers
from ._workspace_access import WorkspaceAccess
from ._workspace_rates import WorkspaceRates

DROP_MISSING_TICK_S = 0.2


class Gateway:
    """Serves callers and runs a share of the batch jobs.

    All durable state is in the platform's store.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        reactor: Any,
        clock: Any,
        random: Random,
        metrics_port: int = METRICS_PORT,
        count_dropped_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._metrics_port = metrics_port
        self._count_dropped_lines = count_dropped_lines
        self._reactor = reactor
        self._clock = clock
        self._metrics = GatewayMetrics(settings.name)
        self._events = events = EventLog(clock, self._metrics)
        self.config = ConfigHolder()
        self._fleet = Fleet()
        self._periodic_tasks = PeriodicTasks(reactor)
        self.caller_address = ""
        self.ready_address = ""
        self.metrics_address = ""
        # Identifies this process in the store. The random part makes it new after each
        # restart, because the store must treat a restarted process as a new producer.
        self._incarnation = f"{settings.name}.{random.getrandbits(48):012x}"

        self._pool = ConnectionPool(reactor, clock, PoolConfig())
        self._pool.on_doubt = self._note_doubt
        client = Client(self._pool, clock)
        self._store = StoreClient(settings.store, client, clock)
        self._store.on_call = self._metrics.observe_store_call
        self._relay = StoreRelay(settings.store.address, client, reactor, clock)
        ownership = Ownership(settings.ip)
        self.capacity = capacity = new_capacity(settings, random, clock.monotonic())
        access = EngineAccess(
            self._fleet,
            capacity.placement,
            RetryAfter(random),
            OnlineAdmission(),
            lambda: 1 + len(self.peers.loads.states),
            lambda engine: ownership.rank(engine.record.id, engine.record.zone),
            self._pool,
            client,
            random,
            events,
            clock,
            reactor,
            capacity,
        )
        self._access = access
        self.capacity_report = CapacityReport(
            capacity.table, self._fleet, events, clock
        )
        self.log_writers = LogWriters(
            self._store,
            self._incarnation,
            CallPace(settings.store.call_bytes // 2, CALL_TIMEOUT_S),
            reactor,
            events,
        )
        self._blobs = BlobStore(
            self._store,
            self.log_writers.new(_blob_store.TOPIC, _blob_store.PARTITION),
            settings.store.record_bytes,
            events,
        )
        self.job_log = JobLog(
            self._store,
            self.log_writers.new(_job_log.TOPIC, _job_log.PARTITION),
            settings.store.record_bytes,
            reactor,
            clock,
            events,
        )
        item_routes = ItemRoutes(self.config)
        self._batch_api = BatchApi(
            self.job_log, self._blobs, item_routes, events, reactor, clock
        )
        self.job_log.on_change = self._job_changed
        self.peers = PeerExchange(
            self._incarnation,
            settings.ip,
            settings.zone,
            self._fleet,
            reactor,
            clock,
            events,
        )
        self._store_link = StoreLink(
            self._store,
            settings.store.address,
            StorePath(random),
            self.peers.relays,
            events,
            clock,
        )
        self._store_link.attach()
        queue = WorkQueue(
            random.getrandbits(48),
            self.peers.loads.is_claimed,
            self._incarnation,
            lambda name: self._directory.is_synced and self.peers.has_ended(name),
            item_routes.queue_of,
        )
        self.crashes = CrashLog(
            self._store,
            self.log_writers.new(_crash_log.TOPIC, _crash_log.PARTITION),
            self._fleet,
            ownership,
            events,
            reactor,
            clock,
        )
        self.streams = StreamLog(
            self._store,
            self.log_writers.new(_stream_log.TOPIC, _stream_log.PARTITION),
            self._fleet,
            ownership,
            events,
            reactor,
            clock,
            self._is_fleet_current,
        )
        self.online = OnlineService(access, self.crashes, self.streams, events)
        item_writer = ItemWriter(self.job_log, self._blobs, queue, access, events)
        cleaner = JobCleaner(
            self.job_log,
            self._blobs,
            item_writer,
            item_routes,
            ownership,
            events,
            settings.job_status_s,
        )
        self.batch_loop = BatchLoop(
            access,
            self.job_log,
            self._blobs,
            queue,
            item_writer,
            cleaner,
            ownership,
            item_routes,
            BatchSlots(settings.ip, self.peers.loads, learned=capacity.table),
            self.crashes,
            events,
        )
        lease = ConfigLease(settings.revocation_s)
        reader = ConfigReader(self.config, lease.confirm, self._apply_config, events)
        self._config_follower = self._follow(CONFIG_TOPIC, reader.handlers())
        self.workspaces = WorkspaceAccess(
            self.config,
            KeyCheck(lease),
            self._config_follower,
            self.peers.relays,
            random,
            events,
            clock,
        )
        self.workspaces.attach(self.online, self._batch_api, self.batch_loop)
        self._engine_list = EngineList(self._fleet, events, clock, self._note_engine)
        self._engine_follower = self._follow(
            ENGINES_TOPIC, self._engine_list.handlers()
        )
        self.streams.refresh_list = self._engine_follower.catch_up
        self.peers.on_change = self.batch_loop.preempt_items
        self.peers.on_limit_change = access.note_limit_changed
        self._directory = PeerDirectory(
            self._store,
            self.log_writers.new(_peer_directory.TOPIC, _peer_directory.PARTITION),
            self.peers,
            events,
            reactor,
            clock,
        )
        self.members = Members(
            settings.ip,
            self._fleet,
            self.peers,
            self.batch_loop,
            self.job_log.follower,
            self._store_link,
            self._directory,
            clock,
        )
        self.members.attach()
        self.rates = WorkspaceRates(
            settings, self.peers, self._directory, self.members, events, clock
        )
        self.memory = caller_budget(settings, reactor, clock, events)
        self._dispatcher = RequestDispatcher(
            self.config,
            self._config_follower,
            self.online,
            self._batch_api,
            access,
            events,
            clock,
            self.workspaces,
            self.rates,
        )
        self._caller_listener = caller_listener(
            settings, reactor, clock, self._dispatcher.handle, self.memory
        )
        self._ready_listener = side_listener(reactor, clock, self._respond_ready)
        self._metrics_listener = side_listener(reactor, clock, self._respond_scrape)

    def _is_fleet_current(self) -> bool:
        """Whether an engine that is not in the fleet has left."""
        is_read = self._engine_follower.is_synced
        return is_read and not self._fleet.is_store_unavailable

    def _note_engine(self, record: EngineRecord) -> None:
        self.capacity.table.note_record(record, self._clock.monotonic())
        self.streams.note_engine(record.software)

    def _note_doubt(self, request_id: str, address: str) -> None:
        self._events.info("response_doubted", id=request_id, address=address)

    def _job_changed(self, job_id: str) -> None:
        self._batch_api.job_changed(job_id)
        self.batch_loop.job_changed(job_id)

    @property
    def _has_unwritten(self) -> bool:
        return (
            self.job_log.writer.has_unwritten
            or self._blobs.writer.has_unwritten
            or self.crashes.has_unwritten
            or self.streams.has_unwritten
        )

    def _follow(self, topic: str, handlers: TopicHandlers) -> TopicFollower:
        return TopicFollower(
            topic, 0, self._store, self._reactor, self._clock, self._events, handlers
        )

    async def start(self) -> None:
        """Listens on all ports and starts to follow the store's topics."""
        settings = self._settings
        self.caller_address = self._caller_listener.listen_at(settings.caller_address)
        self.ready_address = self._ready_listener.listen_at(settings.ready_address)
        self._serve_metrics()
        self._pool.start()
        self._config_follower.start()
        self._engine_follower.start()
        self.job_log.follower.start()
        self.crashes.start(self._periodic_tasks)
        self.streams.start(self._periodic_tasks)
        self._directory.start(self._listen_to_peers())
        self._periodic_tasks.repeat(self.peers.tick, PEER_TICK_S)
        self._periodic_tasks.repeat(self._directory.refresh, PEER_REFRESH_S)
        self._periodic_tasks.repeat(self._engine_list.drop_missing, DROP_MISSING_TICK_S)
        self._periodic_tasks.repeat(self.members.update_members, MEMBERS_TICK_S)
        self._periodic_tasks.repeat(self._store_link.probe, DIRECT_PROBE_S)
        self._periodic_tasks.repeat(self.capacity_report.tick, CAPACITY_TICK_S)
        self.batch_loop.start(self._periodic_tasks)
        self.workspaces.start(self._periodic_tasks)
        self._events.info(
            "started",
            instance=self._incarnation,
            zone=self._settings.zone,
            front=self.caller_address,
        )

    def _serve_metrics(self) -> None:
        address = f"{self._settings.ip}:{self._metrics_port}"
        try:
            self.metrics_address = self._metrics_listener.listen_at(address)
        except CannotListenError as exc:
            # Without metrics the gateway still serves callers.
            self._events.warn("metrics_not_served", address=address, why=exc)

    def _listen_to_peers(self) -> PeerAddress:
        port, _ = self._settings.internal_ports
        relay_port = self._relay.listen(self._settings.ip, port)
        return self.peers.listen(port, relay_port)

    async def drain(self) -> None:
        """Leaves the rotation, hands off batch work and finishes open requests."""
        began = self._clock.monotonic()
        self.members.is_draining = True
        self._caller_listener.is_closing = True
        self._events.info(
            "draining", open_requests=self._caller_listener.open_responses
        )
        self.batch_loop.stop_starting()
        last = began + self._settings.grace_s - CLOSE_MARGIN_S
        self.online.window.begin(began + LEAVE_ROTATION_S, last)
        await sleep(self._reactor, LEAVE_ROTATION_S)
        # Requests that arrive from here on could not finish within the grace period:
        # they are refused as not run.
        self._dispatcher.is_closed = True
        self._batch_api.stop_waiting()
        await self._caller_listener.stop_accepting()
        # A connection that was just accepted has no request yet: its first one is read
        # and refused.
        for _ in range(LAST_REQUEST_TICKS):
            await sleep(self._reactor, DRAIN_TICK_S)
        self._caller_listener.close_idle()
        while self._clock.monotonic() < last:
            await sleep(self._reactor, DRAIN_TICK_S)
            open_requests = self._caller_listener.open_responses
            if open_requests + self.batch_loop.running == 0 and not self._has_unwritten:
                break
            if self._clock.monotonic() > last - HAND_OFF_S:
                self.batch_loop.hand_off()
        self._events.info(
            "drained",
            open_requests=self._caller_listener.open_responses,
            took_s=self._clock.monotonic() - began,
        )

    async def stop(self) -> None:
        """Closes all ports and connections and stops following the store."""
        self._caller_listener.close_idle()
        await sleep(self._reactor, DRAIN_TICK_S)
        self._periodic_tasks.stop()
        for follower in (
            self._config_follower,
            self._engine_follower,
            self.job_log.follower,
        ):
            follower.stop()
        self.job_log.writer.stop()
        self._blobs.writer.stop()
        self.crashes.stop()
        self.streams.stop()
        self._directory.stop()
        await self._relay.stop()
        self.peers.stop()
        await self._caller_listener.stop()
        await self._ready_listener.stop()
        await self._metrics_listener.stop()
        self._pool.stop()
        self._events.info("stopped")

    def reload(self) -> None:
        """Logs SIGHUP; settings are read only when the process starts."""
        self._events.info("reloaded", instance=self._incarnation)

    # Readiness and metrics

    def _respond_ready(self, exchange: Exchange) -> None:
        is_ready = (
            exchange.head.target == READY_PATH
            and not self.members.is_draining
            and self.config.current is not None
            and self._engine_follower.is_synced
            and self.crashes.is_ready
            and not self.members.is_isolated
            and self.workspaces.may_start()
        )
        refuse(exchange, 200 if is_ready else 503)

    @property
    def lines_dropped(self) -> int:
        """The number of log lines lost because their reader was too slow."""
        return self._count_dropped_lines()

    def count_engines(self) -> dict[str, int]:
        """Returns the number of engines by state: serving, draining or avoided."""
        engines = self._fleet.engines.values()
        return self.capacity.placement.count_states(engines, self._clock.monotonic())

    def _respond_scrape(self, exchange: Exchange) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.respond(200, headers, self._metrics.render(self))

    # Configuration

    def _apply_config(self, config: ServingConfig) -> None:
        self._caller_listener.limits = config.limits
        self.streams.apply_config(config)
        self.rates.apply_config(config)
        self.capacity.apply_config(config)
        self.workspaces.apply_config(config)
