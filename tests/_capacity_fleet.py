"""Plays online streams through gateways to engines of differing speed."""

import heapq
from collections import Counter
from random import Random

import attrs

from pomeloshift.capacity import CapacityTable
from pomeloshift.dispatch import (
    Engine,
    EngineLoad,
    EngineRecord,
    OnlineAdmission,
    Placement,
    PlacementConfig,
    RequestCounts,
    Route,
    RouteKind,
)
from pomeloshift.gateway._engine_capacity import LearnedCapacity
from pomeloshift.http1 import Headers, ResponseHead

SLOTS = 8
PROMPT_TOKENS = 450
EVENTS = 24
OBJECTIVE_S = 0.3
PAUSE_S = 0.2
HEAD = ResponseHead(200, Headers([(b"Content-Type", b"text/event-stream")]))
ROUTE = Route("r", "h", "/", RouteKind.STREAMING, (), 5.0, objective_s=OBJECTIVE_S)


@attrs.define(eq=False)
class SimRequest:
    gateway: "SimGateway"
    engine: Engine
    arrived_at: float
    key: int
    measured: object
    left: int = EVENTS
    first_at: float | None = None
    last_at: float = 0.0
    longest_s: float = 0.0


@attrs.define(eq=False)
class SimEngine:
    """Serves in order of arrival; a prefill holds up the step of all requests.

    ``slowdown`` maps the time to the factor by which work takes longer. ``knee`` is the
    number of requests beyond which a step takes much longer. The engine reports its
    slowdown with noise unless ``reports`` is set, which maps the time to a report.
    """

    record: EngineRecord
    slowdown: object
    knee: int = SLOTS
    step_s: float = 0.0035
    prefill_per_ms: float = 60.0
    reports: object = None
    running: list = attrs.field(factory=list)
    waiting: list = attrs.field(factory=list)
    is_stepping: bool = False

    def step_time_s(self, now):
        count = len(self.running)
        new = min(SLOTS - count, len(self.waiting))
        self.running += self.waiting[:new]
        del self.waiting[:new]
        count += new
        step_s = self.step_s * (1 + count / SLOTS + max(0, count - self.knee))
        step_s += new * PROMPT_TOKENS / self.prefill_per_ms / 1000
        return step_s * self.slowdown(now)


@attrs.define(eq=False)
class SimGateway:
    engines: dict
    capacity: LearnedCapacity
    admission: OnlineAdmission = attrs.field(factory=OnlineAdmission)


class CapacityFleet:
    """Gateways that hear each other's counts every ``view_s``, in virtual time."""

    def __init__(self, seed, sims, gateways, view_s=0.05, is_learned=True, model=None):
        self.random = Random(seed)
        self.sims = {sim.record.id: sim for sim in sims}
        self.gateways = [
            self._gateway(Random(seed * 1000 + n), is_learned, model)
            for n in range(gateways)
        ]
        self.view_s = view_s
        self.outcomes = []
        self.sent = Counter()
        self._queue = []
        self._number = 0

    def _gateway(self, random, is_learned, model):
        table = CapacityTable(is_learned)
        learned = model(self) if model else table
        placement = Placement("a", {}, PlacementConfig(), random, learned=learned)
        for sim in self.sims.values():
            table.note_record(sim.record, 0.0)
        return SimGateway(
            {name: Engine(sim.record) for name, sim in self.sims.items()},
            LearnedCapacity(table, placement),
        )

    def restart_gateways(self, is_learned):
        """Replaces all gateways by ones that know nothing."""
        for gateway in self.gateways:
            random = Random(self.random.random())
            new = self._gateway(random, is_learned, None)
            gateway.capacity, gateway.admission = new.capacity, new.admission

    def play(self, rate, until, calls=()):
        """Plays ``rate`` requests a second; ``calls`` pairs times and functions."""
        now = 0.0
        while (now := now + self.random.expovariate(rate)) < until:
            self._add(now, self._arrive)
        for n in range(int(until / self.view_s)):
            self._add(n * self.view_s, self._exchange)
        for at, function in calls:
            self._add(at, lambda now, function=function: function())
        while self._queue:
            now, _, function = heapq.heappop(self._queue)
            function(now)

    def good_share(self, since=0.0, until=1e9):
        """Returns the share of requests in time, of those that arrived in a period."""
        chosen = [good for at, good in self.outcomes if since <= at < until]
        return sum(chosen) / len(chosen)

    def _add(self, at, function):
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, function))

    def _exchange(self, now):
        for name in self.sims:
            total = sum(gateway.engines[name].online for gateway in self.gateways)
            for gateway in self.gateways:
                engine = gateway.engines[name]
                engine.peers = RequestCounts(total - engine.online)

    def _arrive(self, now):
        gateway = self.random.choice(self.gateways)
        placement = gateway.capacity.placement
        engine = placement.choose(list(gateway.engines.values()), now)
        wait_s = placement.expected_wait(engine, now)
        start_s = placement.expected_start(engine, now)
        if not gateway.admission.allows(ROUTE, 5.0, 0.0, wait_s, 0.0, now, start_s):
            self.outcomes.append((now, False))
            return
        measured = gateway.capacity.begin(engine, now)
        key = engine.begin(now, is_batch=False)
        request = SimRequest(gateway, engine, now, key, measured)
        self.sent[engine.record.id] += 1
        self._add(now + 0.001, lambda at: self._reach(request, at))

    def _reach(self, request, now):
        sim = self.sims[request.engine.record.id]
        sim.waiting.append(request)
        if not sim.is_stepping:
            sim.is_stepping = True
            self._add(now + sim.step_time_s(now), lambda at: self._step(sim, at))

    def _step(self, sim, now):
        for request in sim.running:
            self._event(sim, request, now)
        sim.running = [request for request in sim.running if request.left]
        sim.is_stepping = bool(sim.running or sim.waiting)
        if sim.is_stepping:
            self._add(now + sim.step_time_s(now), lambda at: self._step(sim, at))

    def _event(self, sim, request, now):
        engine, measured = request.engine, request.measured
        if request.first_at is None:
            request.first_at = request.last_at = now
            engine.on_bytes(request.key, now)
            noise = self.random.lognormvariate(0.0, 0.1)
            slowdown = sim.reports(now) if sim.reports else sim.slowdown(now) * noise
            counts = len(sim.running), len(sim.waiting), SLOTS
            load = EngineLoad(*counts, slowdown)
            engine.note_load(load, now)
            request.gateway.capacity.note_load(engine, load, now)
            if measured is not None:
                measured.note_head(HEAD)
        request.longest_s = max(request.longest_s, now - request.last_at)
        request.last_at = engine.last_byte_at = now
        request.left -= 1
        if measured is not None:
            measured.note_data(b"\n\n", now)
        if not request.left:
            engine.end(request.key, is_batch=False)
            if measured is not None:
                measured.complete()
                measured.end()
            request.gateway.capacity.placement.note_hold("lm", now - request.first_at)
            first_s = request.first_at - request.arrived_at
            is_good = first_s <= OBJECTIVE_S and request.longest_s <= PAUSE_S
            self.outcomes.append((request.arrived_at, is_good))


def record(number, cold_left_s=0.0):
    name = f"e{number:02d}"
    return EngineRecord(name, "lm", name, "a", SLOTS, False, 1, cold_left_s=cold_left_s)
