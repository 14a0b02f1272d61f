"""The backend servers that one entry knows."""

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
        """Returns a backend server by name, `None` if it is not known."""
        return self._servers.get(name)

    def remove(self, name: str) -> None:
        """Removes a backend server."""
        if self._servers.pop(name, None) is not None:
            self._tiers.clear()

    def take_report(self, report: SidecarReport, now: float) -> None:
        """Applies a sidecar's report."""
        server = self._get_or_add(report.instance)
        was_leaving = server.is_leaving
        server.take_report(report, now, self._cfg.report_lag_s)
        if server.is_leaving != was_leaving:
            self._tiers.clear()

    def take_instances(self, instances: Iterable[Instance], now: float) -> None:
        """Applies the instance list.

        Servers that are not listed are removed unless they reported recently.
        """
        for server in self._servers.values():
            server.is_listed = False
        for instance in instances:
            if instance.role is InstanceRole.BACKEND_SERVER:
                self._get_or_add(instance).take_instance(instance)
        gone = [
            name
            for name, server in self._servers.items()
            if not server.is_listed
            and now - server.last_seen_at > self._cfg.unresponsive_after_s
        ]
        for name in gone:
            del self._servers[name]
        self._tiers.clear()

    def tiers(self, service: str) -> tuple[list[BackendServer], ...]:
        """Returns the subset in use in each of three tiers.

        They are the entry's zone, the rest of its region and other regions. Leaving
        servers are not included.
        """
        tiers = self._tiers.get(service)
        if tiers is None:
            tiers = self._tiers[service] = self._choose_tiers(service)
        return tiers

    def _get_or_add(self, instance: Instance) -> BackendServer:
        server = self._servers.get(instance.name)
        if server is None:
            server = self._servers[instance.name] = BackendServer(
                instance, recently_sent=DecayingSum(self._cfg.sent_decay_s)
            )
            self._tiers.clear()
        return server

    def _choose_tiers(self, service: str) -> tuple[list[BackendServer], ...]:
        names: tuple[list[str], ...] = ([], [], [])
        for name, server in self._servers.items():
            if server.instance.service == service and not server.is_leaving:
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
