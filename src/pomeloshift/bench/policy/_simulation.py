"""Runs one policy on one trace in virtual time."""

import heapq
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from ...admission import Tick
from ...model import LoadReport
from ...standins.engine import EngineModel
from ._backlog import Backlog
from ._deployment import BenchDeployment
from ._measures import Measures
from ._online_use import OnlineUse
from ._router import ReportRouter
from ._server import Policy, SimulatedServer
from ._trace import Arrival, Trace

TICK_S = 0.02
REPORT_INTERVAL_S = 0.1
PULL_LATENCY_S = 0.003
BYTES_PER_TOKEN = 6
TICK = Tick()

Action = Callable[[float], None]


@attrs.frozen
class RunResult:
    """The samples of a run and the online work of each engine."""

    measures: Measures
    uses: tuple[OnlineUse, ...]


class Simulation:
    """A fleet of simulated servers with routing, load reports and batch pulls."""

    def __init__(
        self,
        deployment: BenchDeployment,
        build_policy: Callable[[], Policy],
        speeds: tuple[float, ...],
        report_lag_s: float,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._report_lag_s = report_lag_s
        self._queue: list[tuple[float, int, Action]] = []
        self._number = 0
        self._measures = Measures()
        rng = Random(seed + 1)
        self._router = ReportRouter(deployment.engines, Random(seed + 2))
        backlog = Backlog(deployment, Random(seed + 3))
        self._servers: list[SimulatedServer] = []
        self._step_at: list[float | None] = []
        for speed in speeds:
            settings = attrs.evolve(deployment.engine, speed=speed)
            server = SimulatedServer(
                EngineModel(settings, Random(rng.getrandbits(32))),
                build_policy(),
                backlog,
                self._measures,
                OnlineUse(deployment.between_tokens_target_s),
                Random(rng.getrandbits(32)),
            )
            self._servers.append(server)
            self._step_at.append(None)

    def run(self, trace: Trace) -> RunResult:
        """Runs until the end of the trace and returns the samples."""
        for number in range(len(self._servers)):
            offset_s = TICK_S * number / len(self._servers)
            self._call_at(offset_s, partial(self._tick, number))
            self._call_at(offset_s, partial(self._report, number))
        for arrival in trace.arrivals:
            self._call_at(arrival.at, partial(self._arrive, arrival))
        queue = self._queue
        while queue:
            at, _, action = heapq.heappop(queue)
            if at >= trace.duration_s:
                break
            action(at)
        for server in self._servers:
            server.finish(trace.duration_s)
            self._measures.lost_tokens += server.model.lost_tokens
        return RunResult(self._measures, tuple(s.use for s in self._servers))

    def _call_at(self, at: float, action: Action) -> None:
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, action))

    def _arrive(self, arrival: Arrival, now: float) -> None:
        tokens = arrival.prompt_tokens + arrival.output_tokens
        number = self._router.choose(arrival.place, tokens)
        latency_s = self._latency_s(arrival, number)
        if self._deployment.engines[number].region != arrival.place.region:
            self._measures.cross_region_bytes += tokens * BYTES_PER_TOKEN
        action = partial(self._offer, number, arrival, latency_s)
        self._call_at(now + latency_s, action)

    def _offer(
        self, number: int, arrival: Arrival, latency_s: float, now: float
    ) -> None:
        self._servers[number].offer_online(arrival, latency_s, now)
        self._schedule_next(number, now)

    def _latency_s(self, arrival: Arrival, number: int) -> float:
        cfg = self._deployment
        place = cfg.engines[number]
        if place == arrival.place:
            return cfg.caller_latency_s
        if place.region == arrival.place.region:
            return cfg.caller_latency_s + cfg.zone_latency_s
        return cfg.caller_latency_s + cfg.region_latency_s

    def _tick(self, number: int, now: float) -> None:
        self._servers[number].send(TICK, now)
        self._schedule_next(number, now)
        self._call_at(now + TICK_S, partial(self._tick, number))

    def _report(self, number: int, now: float) -> None:
        report = self._servers[number].policy.load(now)
        sent_count = self._router.sent
        deliver = partial(self._deliver_report, number, report, sent_count)
        self._call_at(now + self._report_lag_s, deliver)
        self._call_at(now + REPORT_INTERVAL_S, partial(self._report, number))

    def _deliver_report(
        self, number: int, report: LoadReport, sent_count: int, _: float
    ) -> None:
        self._router.on_report(number, report, sent_count)

    def _end_step(self, number: int, now: float) -> None:
        server = self._servers[number]
        if server.model.next_step_at() != now:
            return
        self._step_at[number] = None
        server.end_step(now)
        self._schedule_next(number, now)

    def _schedule_next(self, number: int, now: float) -> None:
        """Schedules the engine's next step and the pulls that the policy requested."""
        server = self._servers[number]
        for items in server.take_pulls():
            deliver = partial(self._deliver_batch, number, items)
            self._call_at(now + PULL_LATENCY_S, deliver)
        at = server.model.next_step_at()
        if at is not None and at != self._step_at[number]:
            self._step_at[number] = at
            self._call_at(at, partial(self._end_step, number))

    def _deliver_batch(self, number: int, items: int, now: float) -> None:
        self._servers[number].deliver_batch(items, now)
        self._schedule_next(number, now)
