"""The backend servers that one entry follows."""

from collections.abc import Iterable

from ..model import Instance, InstanceRole, Place
from ..wire import SidecarReport
from ._backend_server import BackendServer
from ._config import RouterConfig
from ._decaying_sum import DecayingSum
from ._rendezvous import top_names


class Fleet:
    """All known backend servers, and for each service the subset in use."""

    def __init__(self, cfg: RouterConfig, place: Place) -> None:
        self._cfg = cfg
        self._place = place
        self._servers: dict[str, BackendServer] = {}
        self._tiers: dict[str, tuple[list[BackendServer], ...]] = {}

    def get(self, name: str) -> BackendServer | None:
        """Returns a backend server by its name."""
        return self._servers.get(name)

    def forget(self, name: str) -> None:
        """Forgets a backend server."""
        if self._servers.pop(name, None) is not None:
            self._tiers.clear()

    def take_report(self, report: SidecarReport, now: float) -> None:
        """Takes a sidecar's report."""
        server = self._known(report.instance)
        was_leaving = server.leaving
        server.take_report(report, now, self._cfg.report_lag_s)
        if server.leaving != was_leaving:
            self._tiers.clear()

    def take_instances(self, instances: Iterable[Instance], now: float) -> None:
        """Takes the live list; forgets servers that neither list nor report."""
        for server in self._servers.values():
            server.listed = False
        for instance in instances:
            if instance.role is InstanceRole.BACKEND_SERVER:
                self._known(instance).take_instance(instance)
        gone = [
            name
            for name, server in self._servers.items()
            if not server.listed and now - server.last_seen_at > self._cfg.silent_s
        ]
        for name in gone:
            del self._servers[name]
        self._tiers.clear()

    def tiers(self, service: str) -> tuple[list[BackendServer], ...]:
        """Returns the subsets in the zone, the rest of the region and elsewhere."""
        tiers = self._tiers.get(service)
        if tiers is None:
            tiers = self._tiers[service] = self._choose_tiers(service)
        return tiers

    def _known(self, instance: Instance) -> BackendServer:
        server = self._servers.get(instance.name)
        if server is None:
            server = self._servers[instance.name] = BackendServer(
                instance, sent=DecayingSum(self._cfg.sent_fade_s)
            )
            self._tiers.clear()
        return server

    def _choose_tiers(self, service: str) -> tuple[list[BackendServer], ...]:
        names: tuple[list[str], ...] = ([], [], [])
        for name, server in self._servers.items():
            if server.instance.service == service and not server.leaving:
                names[self._tier(server.instance.place)].append(name)
        cfg = self._cfg
        counts = (cfg.zone_subset, cfg.region_subset, cfg.remote_subset)
        return tuple(
            [self._servers[n] for n in top_names(cfg.name, group, count)]
            for group, count in zip(names, counts, strict=True)
        )

    def _tier(self, place: Place) -> int:
        if place.region != self._place.region:
            return 2
        if place.availability_zone != self._place.availability_zone:
            return 1
        return 0
