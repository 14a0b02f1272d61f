"""Picks one backend server from a group at equal distance."""

import math
from random import Random

from ._backend_server import BackendServer
from ._config import RouterConfig
from ._rendezvous import top_names

AFFINITY_CHOICES = 2
MAX_SENT_WEIGHT = 4.0


class Pick:
    """One choice among the servers of a region, by their loads estimated at ``now``.

    ``other_entries`` is the number of other entries that choose in the same region.
    """

    def __init__(
        self,
        cfg: RouterConfig,
        rng: Random,
        now: float,
        servers: list[BackendServer],
        other_entries: int,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._now = now
        self._sent_weight = min(MAX_SENT_WEIGHT, cfg.sent_weight * other_entries)
        self._loads = self._estimate(servers)

    def load(self, server: BackendServer) -> float:
        """Returns the estimated load of a server as a share of its capacity."""
        return self._loads[server.instance.name]

    def pick(self, group: list[BackendServer], prefix: str) -> BackendServer | None:
        """Returns a server of ``group``, or `None` if it is empty.

        A server that may have the prefix cached is picked if its load is at most
        ``affinity_load`` above the mean; otherwise the less loaded of two random ones.
        """
        if not group:
            return None
        if prefix:
            server = self._pick_by_prefix(group, prefix)
            if server is not None:
                return server
        return self._pick_of_two(group)

    def _estimate(self, servers: list[BackendServer]) -> dict[str, float]:
        """Estimates the loads of ``servers``.

        This entry's own load is known exactly. An old report says little about the
        load of the other entries, and if many entries trust the same old report, all
        of them send to the same server. As a report ages, it is therefore replaced by
        the mean load and by what this entry sent recently, since the other entries
        choose in the same way.
        """
        if not servers:
            return {}
        others = [self._other_load(server) for server in servers]
        mean = sum(others) / len(others)
        loads = {}
        for server, other in zip(servers, others, strict=True):
            trust = math.exp(-server.age(self._now) / self._cfg.trust_s)
            capacity = server.capacity_tokens(self._cfg)
            own = server.own.running / capacity
            guess = (
                mean + self._sent_weight * server.recently_sent.at(self._now) / capacity
            )
            loads[server.instance.name] = own + trust * other + (1 - trust) * guess
        return loads

    def _other_load(self, server: BackendServer) -> float:
        return server.other_tokens() / server.capacity_tokens(self._cfg)

    def _pick_by_prefix(
        self, group: list[BackendServer], prefix: str
    ) -> BackendServer | None:
        bound = sum(map(self.load, group)) / len(group) + self._cfg.affinity_load
        by_name = {server.instance.name: server for server in group}
        for name in top_names(prefix, by_name, AFFINITY_CHOICES):
            if self._loads[name] <= bound:
                return by_name[name]
        return None

    def _pick_of_two(self, group: list[BackendServer]) -> BackendServer:
        if len(group) == 1:
            return group[0]
        first, second = self._rng.sample(group, 2)
        return second if self.load(second) < self.load(first) else first
