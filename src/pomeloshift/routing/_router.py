"""The choice of a backend server by one entry."""

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
    """Chooses a backend server by distance and load.

    Designed for many entries that choose independently, from reports that are late
    and lists that are out of date. The entry's own zone is preferred, then its region.
    Another region, which is behind the metered inter-region link, is used only if the
    local choice is too slow for the request and the wait there is shorter, or if no
    responsive server of this region is usable. Times are monotonic seconds of the
    entry.

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
        self._resize_budgets()

    @property
    def entries(self) -> int:
        """The number of live entries of this region, at least 1."""
        return self._entries

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Applies a heartbeat of a sidecar."""
        self._now = max(self._now, now)
        self._fleet.take_report(report, now)

    def observe_instances(self, instances: Iterable[Instance], now: float) -> None:
        """Applies the instance list, which may be out of date."""
        self._now = max(self._now, now)
        listed = list(instances)
        self._fleet.take_instances(listed, now)
        self._entries = max(1, sum(map(self._is_entry_of_region, listed)))
        self._resize_budgets()

    def apply_link(self, link: LinkConfig) -> None:
        """Applies the byte budgets of the inter-region link.

        The budgets are divided evenly among the live entries of the region.
        """
        self._link = link
        self._resize_budgets()

    def mark_leaving(self, name: str) -> None:
        """Stops using a backend server until it restarts."""
        server = self._fleet.get(name)
        if server is not None:
            server.is_leaving = True

    def mark_failed(self, name: str, now: float) -> None:
        """Avoids a backend server for a time after a failed connection."""
        server = self._fleet.get(name)
        if server is not None:
            server.avoid(now, self._cfg)

    def mark_responsive(self, name: str) -> None:
        """Ends the avoidance of a backend server that responded."""
        server = self._fleet.get(name)
        if server is not None:
            server.stop_avoiding()
            server.last_seen_at = self._now

    def remove(self, name: str) -> None:
        """Removes a backend server; its next report adds it again."""
        self._fleet.remove(name)

    def started(self, name: str, tokens: int) -> None:
        """Counts the tokens of a request that this entry sent to a backend server."""
        self._count(name, tokens)

    def finished(self, name: str, tokens: int) -> None:
        """Subtracts the tokens of a request that ended at the backend server."""
        self._count(name, -tokens)

    def incarnation(self, name: str) -> int:
        """Returns the last known incarnation of a sidecar, 0 if none is known."""
        server = self._fleet.get(name)
        return 0 if server is None else server.incarnation

    def knows_service(self, service: str) -> bool:
        """Returns whether any backend server that is not leaving runs the service."""
        return any(self._fleet.tiers(service))

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns where to send a request, or `None` if no server may take it."""
        self._now = max(self._now, now)
        zone, region, remote = (
            self._usable(tier, query) for tier in self._fleet.tiers(query.service)
        )
        if query.alone and (zone or region):
            return RouteChoice(_choose_for_suspect(query, zone + region).instance)
        local = self._choose_local(query, zone, region)
        if local is not None and self._is_fast_enough(local, query):
            return RouteChoice(local.instance)
        candidate = self._choose_remote(query, remote, local)
        if candidate is not None:
            return RouteChoice(candidate.instance, crosses_region=True)
        local = local or self._choose_unresponsive(query)
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

    def _choose_remote(
        self,
        query: RouteQuery,
        remote: list[BackendServer],
        local: BackendServer | None,
    ) -> BackendServer | None:
        budget = self._budgets[query.priority]
        if not remote or not budget.allows(query.body_bytes, self._now):
            return None
        candidate = self._pick(remote).pick(remote, query.prefix)
        if candidate is None or not _is_better(candidate, local, self._cfg):
            return None
        budget.spend(query.body_bytes, self._now)
        return candidate

    def _choose_unresponsive(self, query: RouteQuery) -> BackendServer | None:
        """Falls back to servers of the region that may be unresponsive."""
        zone, region, _ = self._fleet.tiers(query.service)
        usable = [s for s in zone + region if self._is_usable(s, query)]
        return self._pick(usable).pick(usable, query.prefix)

    def _usable(
        self, tier: list[BackendServer], query: RouteQuery
    ) -> list[BackendServer]:
        return [
            server
            for server in tier
            if self._is_usable(server, query) and not self._is_unresponsive(server)
        ]

    def _is_usable(self, server: BackendServer, query: RouteQuery) -> bool:
        excluded = server.instance.name in query.excluded
        return not excluded and server.is_usable(self._now)

    def _is_unresponsive(self, server: BackendServer) -> bool:
        return server.is_unresponsive(self._now, self._cfg.unresponsive_after_s)

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
            server.recently_sent.add(tokens, self._now)

    def _is_entry_of_region(self, instance: Instance) -> bool:
        is_entry = instance.role is InstanceRole.ENTRY
        return is_entry and instance.place.region == self._place.region

    def _resize_budgets(self) -> None:
        shares = {
            Priority.ONLINE: self._link.online_share,
            Priority.BATCH: self._link.batch_share,
        }
        for priority, share in shares.items():
            bytes_per_s = self._link.bytes_per_s * share / self._entries
            burst_bytes = bytes_per_s * self._cfg.link_burst_s
            self._budgets[priority].resize(bytes_per_s, burst_bytes)


def _choose_for_suspect(
    query: RouteQuery, servers: list[BackendServer]
) -> BackendServer:
    """Returns the server that every entry of the region chooses for this suspect.

    The choice depends only on the usable servers and the prefix.
    """
    by_name = {server.instance.name: server for server in servers}
    (name,) = top_names(query.prefix, by_name, 1)
    return by_name[name]


def _is_better(
    candidate: BackendServer, local: BackendServer | None, cfg: RouterConfig
) -> bool:
    return local is None or candidate.wait_s(cfg) < local.wait_s(cfg)
