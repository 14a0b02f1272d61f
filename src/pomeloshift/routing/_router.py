"""The choice of a backend server at one entry."""

import math
from collections.abc import Iterable
from random import Random

from ..config import LinkConfig
from ..model import Instance, InstanceRole, Place, Priority
from ..wire import SidecarReport
from ._backend_server import BackendServer
from ._config import RouterConfig
from ._fleet import Fleet
from ._link_budget import LinkBudget
from ._messages import RouteChoice, RouteQuery
from ._pick import Pick
from ._rendezvous import top_names


class Router:
    """Prefers the entry's zone, then its region, and crosses the paid link last.

    router = Router(RouterConfig(name="entry-1"), place, Random(7))
    router.observe_report(report, now)
    route = router.choose(query, now)
    """

    def __init__(self, cfg: RouterConfig, place: Place, rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._fleet = Fleet(cfg, place)
        self._now = 0.0
        self._place = place
        self._link = LinkConfig()
        self._entries = 1
        self._budgets = {priority: LinkBudget(0.0, math.inf) for priority in Priority}
        self._share_link()

    @property
    def entries(self) -> int:
        """The number of live entries of this region, at least 1."""
        return self._entries

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Takes a heartbeat of a sidecar."""
        self._now = max(self._now, now)
        self._fleet.take_report(report, now)

    def observe_instances(self, instances: Iterable[Instance], now: float) -> None:
        """Takes the live list, which lags."""
        self._now = max(self._now, now)
        listed = list(instances)
        self._fleet.take_instances(listed, now)
        self._entries = max(1, sum(map(self._is_near_entry, listed)))
        self._share_link()

    def apply_link(self, link: LinkConfig) -> None:
        """Applies the byte budgets of the paid link.

        They are shared evenly by the live entries of the region.
        """
        self._link = link
        self._share_link()

    def mark_leaving(self, name: str) -> None:
        """Takes a backend server out until it starts again."""
        server = self._fleet.get(name)
        if server is not None:
            server.leaving = True

    def mark_suspect(self, name: str, now: float) -> None:
        """Takes a backend server out for a while after a failed connection."""
        server = self._fleet.get(name)
        if server is not None:
            server.suspect(now, self._cfg)

    def clear(self, name: str) -> None:
        """Ends the suspicion against a backend server that answered."""
        server = self._fleet.get(name)
        if server is not None:
            server.clear()
            server.last_seen_at = self._now

    def forget(self, name: str) -> None:
        """Forgets a backend server; its next report makes it known again."""
        self._fleet.forget(name)

    def started(self, name: str, tokens: int) -> None:
        """Counts work that this entry sent to a backend server."""
        self._count(name, tokens)

    def finished(self, name: str, tokens: int) -> None:
        """Counts work that ended there."""
        self._count(name, -tokens)

    def incarnation(self, name: str) -> int:
        """Returns the last known incarnation of a sidecar, 0 if none is known."""
        server = self._fleet.get(name)
        return 0 if server is None else server.incarnation

    def knows_service(self, service: str) -> bool:
        """Tells whether any backend server runs the service."""
        return any(self._fleet.tiers(service))

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns where to send a request, or `None` if no server may take it."""
        self._now = max(self._now, now)
        zone, region, remote = (
            self._usable(tier, query) for tier in self._fleet.tiers(query.service)
        )
        if query.alone and (zone or region):
            return RouteChoice(_choose_alone(query, zone + region).instance)
        local = self._choose_local(query, zone, region)
        if local is not None and self._is_fast_enough(local, query):
            return RouteChoice(local.instance)
        paid = self._choose_paid(query, remote, local)
        if paid is not None:
            return RouteChoice(paid.instance, crosses_region=True)
        local = local or self._choose_silent(query)
        return None if local is None else RouteChoice(local.instance)

    def _choose_local(
        self,
        query: RouteQuery,
        zone: list[BackendServer],
        region: list[BackendServer],
    ) -> BackendServer | None:
        pick = self._pick(zone + region)
        near = pick.pick(zone, query.prefix)
        far = pick.pick(region, query.prefix)
        if near is None or far is None:
            return near or far
        is_far_better = pick.load(far) + self._cfg.zone_bias < pick.load(near)
        return far if is_far_better else near

    def _choose_paid(
        self,
        query: RouteQuery,
        remote: list[BackendServer],
        local: BackendServer | None,
    ) -> BackendServer | None:
        budget = self._budgets[query.priority]
        if not remote or not budget.allows(query.body_bytes, self._now):
            return None
        paid = self._pick(remote).pick(remote, query.prefix)
        if paid is None or not _is_better(paid, local, self._cfg):
            return None
        budget.spend(query.body_bytes, self._now)
        return paid

    def _choose_silent(self, query: RouteQuery) -> BackendServer | None:
        """Falls back to local servers whose reports have stopped."""
        zone, region, _ = self._fleet.tiers(query.service)
        usable = [s for s in zone + region if self._is_usable(s, query)]
        return self._pick(usable).pick(usable, query.prefix)

    def _usable(
        self, tier: list[BackendServer], query: RouteQuery
    ) -> list[BackendServer]:
        return [
            server
            for server in tier
            if self._is_usable(server, query) and not self._is_silent(server)
        ]

    def _is_usable(self, server: BackendServer, query: RouteQuery) -> bool:
        excluded = server.instance.name in query.excluded
        return not excluded and server.is_usable(self._now)

    def _is_silent(self, server: BackendServer) -> bool:
        return server.is_silent(self._now, self._cfg.silent_s)

    def _is_fast_enough(self, server: BackendServer, query: RouteQuery) -> bool:
        wait_s = server.wait_s(self._cfg)
        if query.priority is Priority.ONLINE and query.first_token_s > 0:
            return wait_s <= min(query.first_token_s, query.deadline_s)
        itl_s = server.load.itl_s or self._cfg.default_itl_s
        return wait_s + query.max_tokens * itl_s <= query.deadline_s

    def _pick(self, servers: list[BackendServer]) -> Pick:
        return Pick(self._cfg, self._rng, self._now, servers, self._entries - 1)

    def _count(self, name: str, tokens: int) -> None:
        server = self._fleet.get(name)
        if server is None:
            return
        server.own.add(tokens, self._now)
        if tokens > 0:
            server.sent.add(tokens, self._now)

    def _is_near_entry(self, instance: Instance) -> bool:
        is_entry = instance.role is InstanceRole.ENTRY
        return is_entry and instance.place.region == self._place.region

    def _share_link(self) -> None:
        shares = {
            Priority.ONLINE: self._link.online_share,
            Priority.BATCH: self._link.batch_share,
        }
        for priority, share in shares.items():
            bytes_per_s = self._link.bytes_per_s * share / self._entries
            burst_bytes = bytes_per_s * self._cfg.link_burst_s
            self._budgets[priority].resize(bytes_per_s, burst_bytes)


def _choose_alone(query: RouteQuery, servers: list[BackendServer]) -> BackendServer:
    """Returns the server that every entry of the region chooses for the prefix."""
    by_name = {server.instance.name: server for server in servers}
    (name,) = top_names(query.prefix, by_name, 1)
    return by_name[name]


def _is_better(
    paid: BackendServer, local: BackendServer | None, cfg: RouterConfig
) -> bool:
    return local is None or paid.wait_s(cfg) < local.wait_s(cfg)
