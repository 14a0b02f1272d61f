"""The entry process: builds, starts and stops an entry's services."""

from random import Random
from typing import Any

import attrs
from loguru import logger
from twisted.internet.task import deferLater

from ..admin import AdminApi, AuditLog, OperatorAuthenticator
from ..batch import JobState
from ..config import Configuration
from ..log import LogStore
from ..metrics import Metrics
from ..model import Instance, InstanceRole, InstanceState
from ..net import Clock
from ..net._control_client import ControlClient
from ..net._control_server import ControlServer
from ..net._health import HealthApi
from ..net._list_client import LiveListClient
from ..net._log_client import LogClient
from ..net._periodic_tasks import PeriodicTasks, spawn
from ..net._prefix_root import PrefixRoot
from ..net._serve import Listener, serve
from ..routing import Router, RouterConfig
from ..settings import EntrySettings
from ..wire import ConfigDocument, ConfigPull
from ._admin_views import FleetAdmin, JobsAdmin, QuarantineAdmin
from ._auth import Authenticator
from ._collector import EntryCollector
from ._control_handler import ControlHandler
from ._fleet_observer import FleetObserver
from ._metered_log import MeteredLog
from ._peer_exchange import PeerExchange
from .batch import BatchSettings, FilesAndBatches, JobService
from .burn import BurnPeers, BurnService, RequestCounters
from .calls import CallClaimer
from .config import ConfigService, ConfigTiming
from .online import OnlineApi, OnlineService

LOG_TIMEOUT_S = 5.0
LIST_INTERVAL_S = 1.0
FLEET_TICK_S = 0.25
CONFIG_PULL_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.05
MAX_MAINTENANCE_S = 60.0
MAINTENANCE_SHARE = 0.05
MAX_CHECKPOINT_S = 600.0
CHECKPOINT_SHARE = 0.25
SECRET_BITS = 256
RECORD_ID_BITS = 64


class Entry:
    """Serves callers, owns partitions of batch jobs and follows the configuration.

    ``live_list`` reads the platform's instance list. ``log`` replaces the client of
    the log service named in the settings.
    """

    def __init__(
        self,
        settings: EntrySettings,
        live_list: LiveListClient,
        reactor: Any,
        clock: Clock,
        rng: Random,
        log: LogStore | None = None,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._periodic_tasks = PeriodicTasks(reactor)
        self.metrics = Metrics("entry", settings.name)
        log = log or LogClient(settings.log_url, reactor, LOG_TIMEOUT_S)
        self._log = MeteredLog(log, self.metrics, clock)
        self.instance = Instance(
            settings.name, InstanceRole.ENTRY, settings.place, "", ""
        )
        self._control = ControlClient(settings.internal_key.encode(), reactor)
        self._router = Router(RouterConfig(name=settings.name), settings.place, rng)
        self.jobs = JobService(
            settings.name,
            self._log,
            clock,
            reactor,
            rng,
            lambda: self.fleet.entries(),
            lambda: self.config.current,
            settings.partitions,
            settings.internal_key,
            _batch_settings(settings),
        )
        self.fleet = FleetObserver(
            live_list, self._router, clock, lambda: self.instance, self.jobs
        )
        self.config = ConfigService(
            settings.name,
            self._log,
            clock,
            reactor,
            rng,
            settings.place.region,
            self.fleet.entries,
            pull=self._pull_config,
            timing=_config_timing(settings),
        )
        self.auth = Authenticator(lambda: self.config.current)
        self.burn = BurnService(
            settings.name,
            self._log,
            clock,
            reactor,
            rng,
            self.fleet.entries,
            lambda: self.config.current,
            BurnPeers(
                settings.name, self.fleet.entries, settings.internal_key, reactor
            ),
        )
        self._request_counters = RequestCounters(
            settings.place.region,
            self.metrics,
            self.burn.record,
            self.fleet.reports,
            lambda: self.config.current,
        )
        self.online = OnlineService(
            settings.name,
            settings.place,
            clock,
            reactor,
            rng,
            self._router,
            lambda: self.config.current,
            settings.internal_key,
            config_version=lambda: self.config.version,
            on_finished=self._request_counters.finished,
        )
        self._peers = PeerExchange(
            settings.name,
            self.fleet,
            self.config,
            self.online.suspects,
            self._control,
            clock,
            lambda: self._start_drain(),
        )
        self._claimer = CallClaimer(
            settings.name,
            self._log,
            settings.partitions,
            rng,
            clock,
            self.jobs.settings.log_retention_s,
        )
        self._rng = rng

    @property
    def is_draining(self) -> bool:
        """Whether this entry is draining and reports itself as not ready."""
        return self.instance.state is InstanceState.LEAVING

    async def start(self) -> None:
        """Starts listening and following the log and the instance list."""
        settings = self._settings
        handler = ControlHandler(
            settings.name, self.config, self.jobs, self.fleet, self._peers.observe
        )
        self._control_server = ControlServer(
            f"tcp://{settings.host}:{settings.control_port}",
            handler.handle,
            settings.internal_key.encode(),
            self._reactor,
        )
        self._control_server.start()
        self.listener: Listener = serve(
            self._reactor, self._root(), settings.host, settings.port
        )
        self.instance = attrs.evolve(
            self.instance,
            address=f"{settings.reachable_host}:{self.listener.port}",
            control_address=self._control_server.url,
        )
        self.config.on_change(self._apply_config)
        self.config.start()
        self._periodic_tasks.repeat(
            lambda: self._claimer.keep(self.jobs.owns),
            self.jobs.settings.maintenance_s,
        )
        self._periodic_tasks.repeat(self.fleet.read_list, LIST_INTERVAL_S)
        self._periodic_tasks.repeat(self.fleet.tick, FLEET_TICK_S)
        self._periodic_tasks.repeat(
            self._peers.send_heartbeats, settings.heartbeat_interval_s
        )
        self.jobs.start()
        self.burn.start()
        logger.info(
            "event=entry_started instance={} address={} control={}",
            self.instance.name,
            self.instance.address,
            self.instance.control_address,
        )

    async def drain(self) -> None:
        """Drains this entry: stops accepting connections and lets open requests finish.

        Reports not ready for ``drain_linger_s``, so that load balancers stop sending
        requests, then closes the listener. Waits up to ``drain_limit_s`` for the open
        requests.
        """
        logger.info("event=drain_started instance={}", self.instance.name)
        self.instance = attrs.evolve(self.instance, state=InstanceState.LEAVING)
        await deferLater(self._reactor, self._settings.drain_linger_s)
        await self.listener.stop_accepting()
        deadline = self._clock.monotonic() + self._settings.drain_limit_s
        while self.online.open_requests and self._clock.monotonic() < deadline:
            await deferLater(self._reactor, DRAIN_POLL_S)
        logger.info("event=drain_ended instance={}", self.instance.name)

    async def stop(self) -> None:
        """Stops all services and closes all connections at once."""
        self._periodic_tasks.stop()
        self.config.stop()
        await self.jobs.stop()
        await self.burn.stop()
        await self._audit.close()
        await self.listener.stop()
        await self._control_server.stop()
        await self._control.close()
        await self.online.close()

    def _root(self) -> Any:
        files_and_batches = FilesAndBatches(self.jobs, self.auth).resource
        online = OnlineApi(self.online, self.auth, self._claimer)
        return PrefixRoot(
            {
                "/v1": online.resource,
                "/admin/v1": self._admin().resource,
                "/v1/files": files_and_batches,
                "/v1/batches": files_and_batches,
                "/internal": self.jobs.internal_resource,
            },
            HealthApi(self._unready_reason, self._render_metrics).resource,
        )

    def _admin(self) -> AdminApi:
        self._audit = AuditLog(
            self.instance.name,
            self._log,
            self._clock,
            self._reactor,
            lambda: self._new_secret(RECORD_ID_BITS),
        )
        fleet = FleetAdmin(
            self.fleet,
            lambda: self.instance,
            lambda: self.config.version,
            self._drain_entry,
            self._clock,
        )
        quarantine = QuarantineAdmin(self.online.suspects, self._clock)
        self._collector = EntryCollector(
            self.metrics,
            fleet.instances,
            quarantine.quarantined,
            lambda: self.online.open_requests,
            self._owned_jobs,
        )
        return AdminApi(
            OperatorAuthenticator(self.auth, self._settings.internal_key),
            self.config,
            fleet,
            JobsAdmin(self.jobs),
            quarantine,
            self._audit,
            lambda: self._new_secret(SECRET_BITS),
            self.burn,
        )

    def _owned_jobs(self) -> list[JobState]:
        runners = [r for r in self.jobs.runners.values() if r.is_open]
        return [job for runner in runners for job in runner.state.jobs.values()]

    def _new_secret(self, bits: int) -> str:
        return f"{self._rng.getrandbits(bits):0{bits // 4}x}"

    async def _drain_entry(self, entry: Instance) -> None:
        if entry.name == self.instance.name:
            self._start_drain()
        else:
            await self._peers.request_drain(entry)

    def _start_drain(self) -> None:
        if not self.is_draining:
            spawn(self.drain())

    def _unready_reason(self) -> str:
        if self.is_draining:
            return "the entry is draining"
        if self.config.version == 0:
            return "the entry has no configuration yet"
        return ""

    def _render_metrics(self) -> bytes:
        self._collector.collect()
        body, _ = self.metrics.render()
        return body

    def _apply_config(self, cfg: Configuration, version: int) -> None:
        self.metrics.set("config_version", version)
        self.metrics.inc("config_changes_total")

    async def _pull_config(self, peer: str) -> ConfigDocument:
        address = next(
            entry.control_address
            for entry in self.fleet.entries()
            if entry.name == peer
        )
        pull = ConfigPull(self.config.version)
        return await self._control.request(address, pull, CONFIG_PULL_TIMEOUT_S)


def _batch_settings(settings: EntrySettings) -> BatchSettings:
    retention_s = settings.log_retention_s
    maintenance_s = min(MAX_MAINTENANCE_S, retention_s * MAINTENANCE_SHARE)
    return BatchSettings(log_retention_s=retention_s, maintenance_s=maintenance_s)


def _config_timing(settings: EntrySettings) -> ConfigTiming:
    checkpoint_s = min(MAX_CHECKPOINT_S, settings.log_retention_s * CHECKPOINT_SHARE)
    return ConfigTiming(poll_s=settings.config_poll_s, checkpoint_s=checkpoint_s)
