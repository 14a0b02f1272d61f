"""Runs one routing rule under one scenario."""

from random import Random

from ...model import Instance, InstanceRole, Place, Priority
from ...routing import RouteQuery
from ...wire import SidecarReport
from ._fake_server import FakeServer, ServerModel
from ._policies import POLICIES, RoutingPolicy, make_policies
from ._result import RoutingResult, Samples
from ._scenario import Scenario
from ._trace import Arrival, make_trace
from ._virtual_loop import VirtualLoop

SERVICE = "model"
DURATION_S = 60.0
DRAIN_S = 120.0
SERVERS_PER_ZONE = 4
REQUESTS_PER_SERVER_PER_S = 12.0
DEADLINE_S = 30.0
FIRST_TOKEN_TARGET_S = 0.7
BYTES_PER_TOKEN = 200
ZONE_LATENCY_S = 0.0015
REGION_LATENCY_S = 0.02
SAMPLE_INTERVAL_S = 0.25
SLOW_SPEED = 0.5
HOT_REGION = "region-1"
PLACES = (
    Place("region-1", "zone-a"),
    Place("region-1", "zone-b"),
    Place("region-2", "zone-c"),
    Place("region-2", "zone-d"),
)


class Simulation:
    """A fleet of two regions in which every entry uses the same rule."""

    def __init__(self, rule: str, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = Random(f"{seed}/reports")
        self._loop = VirtualLoop()
        self._servers = self._make_servers()
        instances = [server.instance for server in self._servers.values()]
        self._entries = [
            place for place in PLACES for _ in range(scenario.entries_per_zone)
        ]
        policy_rng = Random(f"{seed}/{rule}")
        self._policies = make_policies(rule, self._entries, instances, policy_rng)
        self._trace = make_trace(Random(f"{seed}/trace"), self._rates(), DURATION_S)
        self._samples = Samples()

    def run(self) -> RoutingResult:
        """Runs the trace and returns the result."""
        self._report_all()
        self._sample_load()
        self._schedule_next()
        self._loop.run(DURATION_S + DRAIN_S)
        return self._samples.result()

    def _rates(self) -> list[float]:
        total = self._scenario.load * REQUESTS_PER_SERVER_PER_S * self._speed()
        hot_share = self._scenario.hot_region_share
        in_region = len(self._entries) / 2
        return [
            total
            * (hot_share if place.region == HOT_REGION else 1 - hot_share)
            / in_region
            for place in self._entries
        ]

    def _speed(self) -> float:
        slow = self._scenario.slow_servers * 2
        return len(PLACES) * SERVERS_PER_ZONE - slow * (1 - SLOW_SPEED)

    def _make_servers(self) -> dict[str, FakeServer]:
        servers = {}
        slow = {"region-1": 0, "region-2": 0}
        for place in PLACES:
            for number in range(SERVERS_PER_ZONE):
                speed = 1.0
                if slow[place.region] < self._scenario.slow_servers and number == 0:
                    slow[place.region] += 1
                    speed = SLOW_SPEED
                name = f"{place.availability_zone}-{number}"
                role = InstanceRole.BACKEND_SERVER
                instance = Instance(name, role, place, "", service=SERVICE)
                model = ServerModel(speed=speed)
                servers[name] = FakeServer(instance, model, self._loop)
        return servers

    def _schedule_next(self) -> None:
        arrival = next(self._trace, None)
        if arrival is not None:
            self._loop.at(arrival.at, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        self._schedule_next()
        policy = self._policies[arrival.entry]
        size = arrival.tokens * BYTES_PER_TOKEN
        query = RouteQuery(
            SERVICE,
            Priority.ONLINE,
            arrival.prompt_tokens,
            arrival.output_tokens,
            DEADLINE_S,
            arrival.prefix,
            size,
            first_token_s=FIRST_TOKEN_TARGET_S,
        )
        route = policy.choose(query, self._loop.now)
        assert route is not None
        name = route.instance.name
        policy.started(name, arrival.tokens)
        latency_s = _latency_s(self._entries[arrival.entry], route.instance.place)
        if latency_s == REGION_LATENCY_S:
            self._samples.cross_region_bytes += size
        self._loop.after(latency_s, self._serve, arrival, name, policy, latency_s)

    def _serve(
        self, arrival: Arrival, name: str, policy: RoutingPolicy, latency_s: float
    ) -> None:
        def on_first_token(served: Arrival, hit: bool) -> None:
            wait_s = self._loop.now + latency_s - served.at
            self._samples.add(wait_s, hit)
            self._loop.after(latency_s, policy.mark_responsive, name)

        def on_end(served: Arrival) -> None:
            self._loop.after(latency_s, policy.finished, name, served.tokens)

        self._servers[name].run(arrival, on_first_token, on_end)

    def _report_all(self) -> None:
        scenario = self._scenario
        for server in self._servers.values():
            report = server.report()
            for policy in self._policies:
                if self._rng.random() >= scenario.loss_rate:
                    lag_s = self._rng.uniform(0.0, scenario.report_lag_s)
                    self._loop.after(lag_s, self._deliver, policy, report)
        if self._loop.now < DURATION_S:
            self._loop.after(scenario.report_interval_s, self._report_all)

    def _deliver(self, policy: RoutingPolicy, report: SidecarReport) -> None:
        policy.observe_report(report, self._loop.now)

    def _sample_load(self) -> None:
        for region in ("region-1", "region-2"):
            loads = [
                server.load
                for server in self._servers.values()
                if server.instance.place.region == region
            ]
            self._samples.add_loads(loads)
        if self._loop.now < DURATION_S:
            self._loop.after(SAMPLE_INTERVAL_S, self._sample_load)


def _latency_s(source: Place, target: Place) -> float:
    if source.region != target.region:
        return REGION_LATENCY_S
    return 0.0 if source == target else ZONE_LATENCY_S


def run_all(seed: int, scenario: Scenario) -> dict[str, RoutingResult]:
    """Runs every rule under a scenario on the same trace."""
    return {rule: Simulation(rule, scenario, seed).run() for rule in POLICIES}
