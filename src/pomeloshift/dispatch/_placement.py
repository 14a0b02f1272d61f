"""Chooses the engine for a request.

Designed for online requests that occupy a slot for well under a second, at engines
that are nearly full of batch items that occupy theirs for several seconds.
"""

from collections.abc import Iterable
from enum import Enum
from random import Random

import attrs

from ._capacity_model import CapacityModel
from ._engine import Engine


class Distance(Enum):
    """Where an engine is, seen from an entry."""

    ZONE = "same zone"
    REGION = "same region"
    FAR = "other region"


# How many engines are drawn by distance. Of two or three, the better one spreads the
# requests of 26 and 300 entries with views 40 to 500 ms old best; the best of eight
# attracts too many. One far engine is enough to leave a region that is overloaded.
CANDIDATES = ((Distance.ZONE, 2), (Distance.REGION, 2), (Distance.FAR, 1))
MIN_CANDIDATES = 3


@attrs.frozen
class PlacementConfig:
    """Weights of the placement; those that end in ``_s`` are seconds.

    ``hold_s`` is how long an online request occupies a slot, used until measured, and
    ``hold_smoothing`` the weight of a new measurement (0 to 1). ``slot_cost_s`` is
    the cost of each request at an engine. ``zone_cost_s`` and ``region_cost_s`` are
    the costs of the delay and the metered bytes of a request that leaves its zone or
    region (measured: under a hundredth of what a late response costs).
    ``unresponsive_after_s`` is how long an engine may send nothing while a request
    waits there (several times the longest pause of a full engine). ``preempt_s`` is
    how long a preempted batch item takes to release its slot. ``jitter_s`` is the
    largest random cost; it spreads the choices of entries that see the same load.
    ``run_weight`` is the weight of the time from the first event to the last one, where
    it is learned: with the full time, slow engines that would still begin in time stay
    idle while requests wait at fast ones; without it, slow engines collect requests.
    """

    hold_s: float = 0.7
    hold_smoothing: float = 0.05
    slot_cost_s: float = 0.004
    zone_cost_s: float = 0.004
    region_cost_s: float = 0.045
    unresponsive_after_s: float = 0.5
    preempt_s: float = 0.06
    jitter_s: float = 0.004
    run_weight: float = 0.25


@attrs.define
class Placement:
    """Chooses the engine with the lowest cost for a new request.

    The cost is the expected wait for a slot plus the weights of `PlacementConfig`,
    in seconds. ``zone`` is this entry's zone and ``regions`` maps zones to regions.
    ``learned`` knows how engines differ in speed. Where it is active for a service, the
    cost is the wait, the start and a part of the run at that engine, and only some
    engines are compared.
    """

    zone: str
    regions: dict[str, str]
    config: PlacementConfig
    _random: Random
    _hold_s: dict[str, float] = attrs.field(factory=dict)
    learned: CapacityModel | None = None

    def choose(
        self,
        engines: list[Engine],
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Engine | None:
        """Returns the engine with the lowest cost, or None if all are excluded.

        Engines that are avoided or unresponsive are used only if no other is left.
        """
        allowed = [e for e in engines if e.record.id not in excluded]
        healthy = [e for e in allowed if self.is_healthy(e, now)]
        pool = healthy or allowed
        if not pool:
            return None
        return min(self._candidates(pool, now), key=lambda e: self._cost(e, now))

    def note_hold(self, service: str, held_s: float) -> None:
        """Records how long an online request occupied its slot, without its wait."""
        known = self.hold_s(service)
        self._hold_s[service] = known + self.config.hold_smoothing * (held_s - known)

    def hold_s(self, service: str) -> float:
        """Returns the mean time, in seconds, that online requests occupy a slot."""
        return self._hold_s.get(service, self.config.hold_s)

    def is_healthy(self, engine: Engine, now: float) -> bool:
        """Returns whether the engine is neither avoided nor unresponsive."""
        if engine.avoided_until > now:
            return False
        return engine.unresponsive_s(now) < self.config.unresponsive_after_s

    def count_states(self, engines: Iterable[Engine], now: float) -> dict[str, int]:
        """Returns the number of engines by state: serving, draining or avoided."""
        counts = {"serving": 0, "draining": 0, "avoided": 0}
        for engine in engines:
            if not engine.is_serving:
                counts["draining"] += 1
            elif self.is_healthy(engine, now):
                counts["serving"] += 1
            else:
                counts["avoided"] += 1
        return counts

    def expected_wait(self, engine: Engine, now: float) -> float:
        """Returns the seconds that a new online request would wait for a slot.

        Batch items are preempted, so a slot of theirs is free within ``preempt_s``.
        """
        cfg = self.config
        excess = engine.online_occupancy(now) + 1 - engine.slots
        if excess > 0:
            return excess * self._hold_at(engine, now) / engine.slots
        is_full = engine.occupancy(now) + 1 > engine.slots
        return cfg.preempt_s if is_full else 0.0

    def _hold_at(self, engine: Engine, now: float) -> float:
        """Returns the time, in seconds, that requests occupy a slot of an engine.

        At least the mean of the service: little evidence, as after a restart, must not
        make a queue look short.
        """
        hold_s = self.hold_s(engine.record.service)
        learned = self._learned_of(engine, now)
        return hold_s if learned is None else max(hold_s, learned.hold_s(engine, now))

    def expected_start(self, engine: Engine, now: float) -> float | None:
        """Returns the seconds from a slot to the first event, None if not learned."""
        learned = self._learned_of(engine, now)
        return learned.start_s(engine, now) if learned is not None else None

    def _learned_of(self, engine: Engine, now: float) -> CapacityModel | None:
        learned = self.learned
        if learned is None or not learned.is_active(engine.record.service, now):
            return None
        return learned

    def _candidates(self, engines: list[Engine], now: float) -> list[Engine]:
        """Returns the engines to compare: all, or some drawn where speeds are learned.

        Entries that all knew the fastest engine would all choose it until they hear of
        each other's requests. Engines are drawn in proportion to what they can do.
        """
        learned = self._learned_of(engines[0], now)
        if learned is None or len(engines) <= MIN_CANDIDATES:
            return engines
        # Of exponential times with means in proportion to the time for a request, the
        # shortest belongs to an engine with a probability in proportion to its speed.
        keys = {
            engine.record.id: self._random.expovariate(1.0)
            * learned.hold_s(engine, now)
            for engine in engines
        }
        ranked = sorted(engines, key=lambda e: keys[e.record.id])
        left = dict(CANDIDATES)
        drawn = []
        for engine in ranked:
            distance = self._distance(engine.record.zone)
            if left[distance] > 0:
                left[distance] -= 1
                drawn.append(engine)
        others = [engine for engine in ranked if engine not in drawn]
        return drawn + others[: max(0, MIN_CANDIDATES - len(drawn))]

    def _cost(self, engine: Engine, now: float) -> float:
        cfg = self.config
        cost = self.expected_wait(engine, now)
        learned = self._learned_of(engine, now)
        if learned is not None:
            cost += learned.start_s(engine, now)
            cost += cfg.run_weight * learned.run_s(engine, now)
        cost += cfg.slot_cost_s * engine.occupancy(now)
        cost += self._distance_cost(engine.record.zone)
        return cost + cfg.jitter_s * self._random.random()

    def _distance_cost(self, zone: str) -> float:
        cfg = self.config
        costs = {
            Distance.ZONE: 0.0,
            Distance.REGION: cfg.zone_cost_s,
            Distance.FAR: cfg.region_cost_s,
        }
        return costs[self._distance(zone)]

    def _distance(self, zone: str) -> Distance:
        if zone == self.zone:
            return Distance.ZONE
        if self.regions.get(zone) == self.regions.get(self.zone):
            return Distance.REGION
        return Distance.FAR
