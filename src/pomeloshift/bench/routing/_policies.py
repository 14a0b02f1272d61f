"""The routing rules that are compared."""

from random import Random
from typing import Protocol

from ...model import Instance, InstanceRole, Place
from ...routing import RouteChoice, RouteQuery, Router, RouterConfig
from ...wire import SidecarReport


class RoutingPolicy(Protocol):
    """One entry's choice of a backend server; `Router` is one."""

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Applies a load report."""

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns the backend server for a request, or `None` if there is none."""

    def started(self, name: str, tokens: int) -> None:
        """Counts the tokens of a request that this entry sent to a server."""

    def finished(self, name: str, tokens: int) -> None:
        """Removes the tokens of a request that ended."""

    def mark_responsive(self, name: str) -> None:
        """Called when a server has returned a first token."""


class _Baseline:
    """A rule that chooses among the servers of the entry's region.

    Baselines don't count the work that the entry sends.
    """

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        self._servers = servers
        self._rng = rng

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Ignores the report."""

    def started(self, name: str, tokens: int) -> None:
        """Does nothing; baselines don't count work."""

    def finished(self, name: str, tokens: int) -> None:
        """Does nothing; baselines don't count work."""

    def mark_responsive(self, name: str) -> None:
        """Does nothing; baselines don't suspect servers."""


class RandomChoice(_Baseline):
    """Chooses each server with the same probability."""

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns a random server."""
        return RouteChoice(self._rng.choice(self._servers))


class RoundRobin(_Baseline):
    """Chooses the servers in turn; each entry starts at a random one."""

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        super().__init__(servers, rng)
        self._next = rng.randrange(len(servers))

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns the next server."""
        self._next = (self._next + 1) % len(self._servers)
        return RouteChoice(self._servers[self._next])


class LeastReported(_Baseline):
    """Chooses the server with the least reported load."""

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        super().__init__(servers, rng)
        self._loads: dict[str, float] = {}

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Stores the latest load."""
        load = report.load
        self._loads[report.instance.name] = load.online_tokens / load.capacity_tokens

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns the server with the lowest load; ties are broken at random."""
        return RouteChoice(min(self._servers, key=self._rank))

    def _rank(self, server: Instance) -> tuple[float, float]:
        return self._loads.get(server.name, 0.0), self._rng.random()


def make_policies(
    rule: str, entries: list[Place], servers: list[Instance], rng: Random
) -> list[RoutingPolicy]:
    """Returns one policy of the rule for each entry."""
    return [
        _make_policy(rule, number, entries, servers, Random(rng.random()))
        for number in range(len(entries))
    ]


def _make_policy(
    rule: str,
    number: int,
    entries: list[Place],
    servers: list[Instance],
    rng: Random,
) -> RoutingPolicy:
    place = entries[number]
    if rule == "ours":
        router = Router(RouterConfig(name=f"entry-{number}"), place, rng)
        router.observe_instances([*servers, *_entries(entries)], 0.0)
        return router
    region = [s for s in servers if s.place.region == place.region]
    baselines: dict[str, type[_Baseline]] = {
        "random": RandomChoice,
        "round_robin": RoundRobin,
        "least_reported": LeastReported,
    }
    baseline: RoutingPolicy = baselines[rule](region, rng)  # type: ignore[assignment]
    return baseline


def _entries(places: list[Place]) -> list[Instance]:
    return [
        Instance(f"entry-{number}", InstanceRole.ENTRY, place, "")
        for number, place in enumerate(places)
    ]


POLICIES = ("random", "round_robin", "least_reported", "ours")
