"""The routing rules that are compared."""

from random import Random
from typing import Protocol

from ...model import Instance, InstanceRole, Place
from ...routing import RouteChoice, RouteQuery, Router, RouterConfig
from ...wire import SidecarReport


class RoutingPolicy(Protocol):
    """The choice of a backend server at one entry."""

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Takes a report."""

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns where to send a request."""

    def started(self, name: str, tokens: int) -> None:
        """Counts work that this entry sent."""

    def finished(self, name: str, tokens: int) -> None:
        """Counts work that ended."""

    def clear(self, name: str) -> None:
        """Notes that a server answered."""


class _Baseline:
    """A rule that looks only at the servers of the entry's region."""

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        self._servers = servers
        self._rng = rng

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Ignores the report."""

    def started(self, name: str, tokens: int) -> None:
        """Counts nothing."""

    def finished(self, name: str, tokens: int) -> None:
        """Counts nothing."""

    def clear(self, name: str) -> None:
        """Notes nothing."""


class RandomChoice(_Baseline):
    """Any server with the same probability."""

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns a random server."""
        return RouteChoice(self._rng.choice(self._servers))


class RoundRobin(_Baseline):
    """One server after another, each entry from its own start."""

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        super().__init__(servers, rng)
        self._next = rng.randrange(len(servers))

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns the next server."""
        self._next = (self._next + 1) % len(self._servers)
        return RouteChoice(self._servers[self._next])


class LeastReported(_Baseline):
    """The server with the least reported load."""

    def __init__(self, servers: list[Instance], rng: Random) -> None:
        super().__init__(servers, rng)
        self._loads: dict[str, float] = {}

    def observe_report(self, report: SidecarReport, now: float) -> None:
        """Keeps the latest load."""
        load = report.load
        self._loads[report.instance.name] = load.online_tokens / load.capacity_tokens

    def choose(self, query: RouteQuery, now: float) -> RouteChoice | None:
        """Returns the server with the lowest load, any of them if several have it."""
        return RouteChoice(min(self._servers, key=self._rank))

    def _rank(self, server: Instance) -> tuple[float, float]:
        return self._loads.get(server.name, 0.0), self._rng.random()


def make_policies(
    kind: str, entries: list[Place], servers: list[Instance], rng: Random
) -> list[RoutingPolicy]:
    """Returns one policy for each entry."""
    return [
        _make_policy(kind, number, entries, servers, Random(rng.random()))
        for number in range(len(entries))
    ]


def _make_policy(
    kind: str,
    number: int,
    entries: list[Place],
    servers: list[Instance],
    rng: Random,
) -> RoutingPolicy:
    place = entries[number]
    if kind == "ours":
        router = Router(RouterConfig(name=f"entry-{number}"), place, rng)
        router.observe_instances([*servers, *_entries(entries)], 0.0)
        return router
    region = [s for s in servers if s.place.region == place.region]
    baselines: dict[str, type[_Baseline]] = {
        "random": RandomChoice,
        "round_robin": RoundRobin,
        "least_reported": LeastReported,
    }
    baseline: RoutingPolicy = baselines[kind](region, rng)  # type: ignore[assignment]
    return baseline


def _entries(places: list[Place]) -> list[Instance]:
    return [
        Instance(f"entry-{number}", InstanceRole.ENTRY, place, "")
        for number, place in enumerate(places)
    ]


POLICIES = ("random", "round_robin", "least_reported", "ours")
