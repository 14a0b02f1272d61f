"""Builds and runs entries, sidecars and stand-ins as processes."""

from random import SystemRandom
from typing import Any

import attrs

from ..net import SystemClock
from ..net._process import Role, run_process
from ..settings import EntrySettings, SidecarSettings, load_settings


def run_entry(path: str) -> int:
    """Runs an entry with the settings in ``path`` and returns the exit code."""
    settings = load_settings(path, EntrySettings)

    def make(reactor: Any) -> Role:
        from ..entry._entry import Entry
        from ..net._list_client import LiveListClient

        live_list = LiveListClient(settings.list_url, reactor)
        return Entry(settings, live_list, reactor, SystemClock(), SystemRandom())

    with_tls = _uses_tls(settings.log_url, settings.list_url)
    return run_process(make, settings.log_level.value, with_tls)


def run_sidecar(path: str) -> int:
    """Runs a sidecar with the settings in ``path`` and returns the exit code."""
    settings = load_settings(path, SidecarSettings)

    def make(reactor: Any) -> Role:
        from ..net._list_client import LiveListClient
        from ..sidecar._sidecar import Sidecar

        live_list = LiveListClient(settings.list_url, reactor)
        return Sidecar(settings, live_list, reactor, SystemClock(), SystemRandom())

    engine_urls = (engine.url for engine in settings.engines)
    with_tls = _uses_tls(settings.list_url, settings.weights_url, *engine_urls)
    return run_process(make, settings.log_level.value, with_tls)


def _uses_tls(*urls: str) -> bool:
    return any(url.startswith("https:") for url in urls)


@attrs.define
class StandinRole:
    """Runs the server of a stand-in as a process."""

    server: Any
    host: str
    port: int
    reactor: Any
    listener: Any = None

    async def start(self) -> None:
        """Starts to listen on the host and port of the settings."""
        from loguru import logger

        from ..net._serve import serve

        self.listener = serve(self.reactor, self.server.resource, self.host, self.port)
        logger.info("event=standin_started address={}", self.listener.address)

    async def drain(self) -> None:
        """Does nothing, because a stand-in has no work to finish."""

    async def stop(self) -> None:
        """Closes the port and all connections."""
        await self.listener.stop()


def run_standin(kind: str, path: str) -> int:
    """Runs a stand-in with the settings in ``path`` and returns the exit code."""
    settings = load_settings(path, _standin_settings(kind))

    def make(reactor: Any) -> Role:
        server = make_standin(kind, settings, reactor)
        return StandinRole(server, settings.host, settings.port, reactor)

    return run_process(make, "INFO")


def make_standin(kind: str, settings: Any, reactor: Any) -> Any:
    """Returns the server of the stand-in ``kind``."""
    clock = SystemClock()
    if kind == "engine":
        from ..standins.engine import EngineServer

        return EngineServer(settings, reactor, clock, SystemRandom())
    if kind == "log":
        from ..standins.log import LogServer

        return LogServer(settings, reactor, clock, SystemRandom())
    if kind == "list":
        from ..standins.livelist import LiveListServer

        return LiveListServer(settings, reactor, clock)
    if kind == "weights":
        from ..standins.weights import WeightsServer

        return WeightsServer(settings, reactor, clock)
    from ..standins.service import PlainServiceServer

    return PlainServiceServer(settings, reactor, clock)


def _standin_settings(kind: str) -> type[Any]:
    if kind == "engine":
        from ..standins.engine import EngineSettings

        return EngineSettings
    if kind == "log":
        from ..standins.log import LogSettings

        return LogSettings
    if kind == "list":
        from ..standins.livelist import ListSettings

        return ListSettings
    if kind == "weights":
        from ..standins.weights import WeightsSettings

        return WeightsSettings
    from ..standins.service import ServiceSettings

    return ServiceSettings
