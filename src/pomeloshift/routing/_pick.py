"""Picks one backend server out of a group of equal distance."""

import math
from random import Random

from ._backend_server import BackendServer
from ._config import RouterConfig
from ._rendezvous import top_names

AFFINITY_CHOICES = 2


class Pick:
    """One choice: prefix affinity within a load bound, then power of two choices."""

    def __init__(self, cfg: RouterConfig, rng: Random, now: float) -> None:
        self._cfg = cfg
        self._rng = rng
        self._now = now

    def pick(self, group: list[BackendServer], prefix: str) -> BackendServer | None:
        """Returns a server of ``group``, or `None` if it is empty."""
        if not group:
            return None
        mean = sum(map(self._raw_load, group)) / len(group)
        if prefix:
            server = self._pick_by_prefix(group, prefix, mean)
            if server is not None:
                return server
        return self._pick_of_two(group, mean)

    def load(self, server: BackendServer, mean: float) -> float:
        """Estimates a load; one with an old report is taken nearer the mean.

        An old report says little, and many entries that believe the same one would
        all send their work to the same server.
        """
        trust = math.exp(-server.age(self._now) / self._cfg.trust_s)
        capacity = server.capacity_tokens(self._cfg)
        reported = server.load.online_tokens / capacity
        own = server.own.tokens / capacity
        return max(0.0, trust * reported + (1 - trust) * mean + own)

    def _raw_load(self, server: BackendServer) -> float:
        return server.online_tokens() / server.capacity_tokens(self._cfg)

    def _pick_by_prefix(
        self, group: list[BackendServer], prefix: str, mean: float
    ) -> BackendServer | None:
        by_name = {server.instance.name: server for server in group}
        for name in top_names(prefix, by_name, AFFINITY_CHOICES):
            if self.load(by_name[name], mean) <= mean + self._cfg.affinity_load:
                return by_name[name]
        return None

    def _pick_of_two(self, group: list[BackendServer], mean: float) -> BackendServer:
        if len(group) == 1:
            return group[0]
        first, second = self._rng.sample(group, 2)
        if self.load(second, mean) < self.load(first, mean):
            return second
        return first
