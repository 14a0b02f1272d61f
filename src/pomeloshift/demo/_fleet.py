"""Starts the parts of the deployment in one process, on one event loop."""

from random import Random
from typing import Any

import attrs

from ..config import (
    ApiKeyConfig,
    Configuration,
    OperatorKeyConfig,
    ServiceKind,
    make_api_key,
    make_operator_key,
)
from ..entry._entry import Entry
from ..model import Instance, InstanceState, Place
from ..net import Clock
from ..net._serve import Listener, serve
from ..questionnaire import generate, load_example
from ..settings import EngineAddress, EntrySettings, SidecarSettings
from ..sidecar._sidecar import Sidecar
from ..standins.engine import EngineServer, EngineSettings
from ..standins.livelist import ListSettings, LiveListServer
from ..standins.log import LogServer, LogSettings
from ..standins.service import PlainServiceServer, ServiceSettings
from ._network import Network, RelayedListClient
from ._plan import (
    BACKEND_SERVERS,
    ENTRIES,
    MODEL,
    PLAIN_SERVER,
    PLAIN_SERVICE,
    PLATFORM,
    PlannedInstance,
)

HOST = "127.0.0.1"
LIST_LAG_S = 1.0
PARTITIONS = 8
DRAIN_LINGER_S = 1.0
DRAIN_LIMIT_S = 20.0


@attrs.define
class RunningServer:
    """A backend server: a sidecar with its engine or plain service.

    ``server`` is that engine or service, ``listener`` the port on which it is served.
    """

    sidecar: Sidecar
    server: Any
    listener: Listener

    @property
    def name(self) -> str:
        """The name of the backend server."""
        return self.sidecar.instance.name

    async def kill(self) -> None:
        """Stops the engine and sidecar without a drain, as if the host were lost."""
        if isinstance(self.server, EngineServer):
            self.server.stop()
        await self.listener.stop()
        await self.sidecar.stop()


@attrs.frozen
class DemoKeys:
    """The keys of the demo's callers, its operator and its internal connections.

    ``callers`` holds the API keys by workspace.
    """

    callers: dict[str, str]
    operator: str
    internal: str


def make_keys(rng: Random, cfg: Configuration) -> tuple[DemoKeys, Configuration]:
    """Creates a key for every workspace and for one operator.

    Returns the keys, and the configuration with the records of these keys.
    """
    callers: dict[str, str] = {}
    records: list[ApiKeyConfig] = list(cfg.api_keys)
    for workspace in cfg.workspaces:
        secret = f"{rng.getrandbits(128):032x}"
        key_id = f"demo-{workspace.name}"
        salt = f"{rng.getrandbits(64):016x}"
        records.append(make_api_key(key_id, workspace.name, secret, salt=salt))
        callers[workspace.name] = f"{key_id}.{secret}"
    secret = f"{rng.getrandbits(128):032x}"
    salt = f"{rng.getrandbits(64):016x}"
    operator: OperatorKeyConfig = make_operator_key(
        "demo-operator", "demo", "admin", secret, salt=salt
    )
    keys = DemoKeys(callers, f"demo-operator.{secret}", f"{rng.getrandbits(128):032x}")
    with_keys = attrs.evolve(
        cfg,
        api_keys=tuple(records),
        operator_keys=(*cfg.operator_keys, operator),
    )
    return keys, with_keys


class DemoFleet:
    """Two entries, five engines and a plain service, with the platform's stand-ins."""

    def __init__(self, reactor: Any, clock: Clock, rng: Random) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self.network = Network(reactor)
        self.keys, self.config = make_keys(rng, generate(load_example("vezi")))
        self.entries: list[Entry] = []
        self.servers: list[RunningServer] = []
        self._listeners: list[Listener] = []

    async def start(self) -> None:
        """Starts the stand-ins, then the entries, then the backend servers."""
        self.log = LogServer(LogSettings(), self._reactor, self._clock, self._new_rng())
        self._log_url = self._serve(self.log.resource)
        settings = ListSettings(lag_s=LIST_LAG_S)
        self.list = LiveListServer(settings, self._reactor, self._clock)
        self._list_url = self._serve(self.list.resource)
        for planned in ENTRIES:
            await self._start_entry(planned)
        for planned in BACKEND_SERVERS:
            await self._start_model_server(planned)
        await self._start_plain_server(PLAIN_SERVER)

    def server(self, name: str) -> RunningServer:
        """Returns the backend server of that name."""
        return next(server for server in self.servers if server.name == name)

    def put(self, instance: Instance) -> None:
        """Adds an instance to the instance list, which shows it after its lag."""
        self.list.model.put(instance, self._clock.monotonic())

    def remove(self, name: str) -> None:
        """Removes an instance from the instance list, which shows it after its lag."""
        self.list.model.remove(name, self._clock.monotonic())

    def mark_leaving(self, server: RunningServer) -> None:
        """Lists a backend server as leaving, which is shown after the list's lag."""
        instance = server.sidecar.instance
        self.put(attrs.evolve(instance, state=InstanceState.LEAVING))

    def lowest_version(self) -> int:
        """Returns the lowest configuration version in force on any instance."""
        versions = [entry.config.version for entry in self.entries]
        versions += [server.sidecar.config_version for server in self.servers]
        return min(versions)

    async def stop(self) -> None:
        """Stops all backend servers, entries, stand-ins and relays."""
        for server in self.servers:
            await server.kill()
        for entry in self.entries:
            await entry.stop()
        for listener in self._listeners:
            await listener.stop()
        await self.network.stop()

    def _serve(self, resource: Any) -> str:
        listener = serve(self._reactor, resource, HOST)
        self._listeners.append(listener)
        return listener.address

    def _url(self, place: Place, address: str) -> str:
        return f"http://{self.network.address_from(place, PLATFORM, address)}"

    def _list_client(self, place: Place) -> RelayedListClient:
        url = self._url(place, self._list_url)
        return RelayedListClient(url, self._reactor, self.network, place)

    def _new_rng(self) -> Random:
        return Random(self._rng.getrandbits(64))

    async def _start_entry(self, planned: PlannedInstance) -> None:
        settings = EntrySettings(
            name=planned.name,
            place=planned.place,
            log_url=self._url(planned.place, self._log_url),
            list_url=self._url(planned.place, self._list_url),
            internal_key=self.keys.internal,
            port=0,
            control_port=0,
            partitions=PARTITIONS,
            drain_linger_s=DRAIN_LINGER_S,
            drain_limit_s=DRAIN_LIMIT_S,
        )
        client = self._list_client(planned.place)
        entry = Entry(settings, client, self._reactor, self._clock, self._new_rng())
        await entry.start()
        self.entries.append(entry)
        self.put(entry.instance)

    async def _start_model_server(self, planned: PlannedInstance) -> None:
        settings = EngineSettings(
            name=planned.name,
            models=(MODEL,),
            checks_fencing=self._checks_fencing(planned.name),
        )
        engine = EngineServer(settings, self._reactor, self._clock, self._new_rng())
        await self._start_server(planned, engine, MODEL, ServiceKind.MODEL)

    async def _start_plain_server(self, planned: PlannedInstance) -> None:
        service = PlainServiceServer(ServiceSettings(), self._reactor, self._clock)
        self.plain_service = service
        await self._start_server(planned, service, PLAIN_SERVICE, ServiceKind.PLAIN)

    async def _start_server(
        self, planned: PlannedInstance, server: Any, service: str, kind: ServiceKind
    ) -> None:
        listener = serve(self._reactor, server.resource, HOST)
        engine = EngineAddress(f"{planned.name}-engine", f"http://{listener.address}")
        settings = SidecarSettings(
            name=planned.name,
            place=planned.place,
            service=service,
            engines=(engine,),
            list_url=self._url(planned.place, self._list_url),
            internal_key=self.keys.internal,
            kind=kind,
            port=0,
            drain_limit_s=DRAIN_LIMIT_S,
        )
        client = self._list_client(planned.place)
        sidecar = Sidecar(settings, client, self._reactor, self._clock, self._new_rng())
        await sidecar.start()
        self.servers.append(RunningServer(sidecar, server, listener))
        self.put(sidecar.instance)

    def _checks_fencing(self, name: str) -> bool:
        configs = self.config.backend_servers
        return any(cfg.name == name and cfg.checks_fencing for cfg in configs)
