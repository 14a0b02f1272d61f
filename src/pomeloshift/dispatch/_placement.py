"""Chooses the engine for a request.

Designed for online requests that occupy a slot for well under a second, at engines
that are nearly full of batch items that occupy theirs for several seconds.
"""

from random import Random

import attrs

from ._engine import Engine


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
    """

    hold_s: float = 0.7
    hold_smoothing: float = 0.05
    slot_cost_s: float = 0.004
    zone_cost_s: float = 0.004
    region_cost_s: float = 0.045
    unresponsive_after_s: float = 0.5
    preempt_s: float = 0.06
    jitter_s: float = 0.004


@attrs.define
class Placement:
    """Chooses the engine with the lowest cost for a new request.

    The cost is the expected wait for a slot plus the weights of `PlacementConfig`,
    in seconds. ``zone`` is this entry's zone and ``regions`` maps zones to regions.
    """

    zone: str
    regions: dict[str, str]
    config: PlacementConfig
    _random: Random
    _hold_s: dict[str, float] = attrs.field(factory=dict)

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
        return min(pool, key=lambda e: self._cost(e, now))

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

    def expected_wait(self, engine: Engine, now: float) -> float:
        """Returns the seconds that a new online request would wait for a slot.

        Batch items are preempted, so a slot of theirs is free within ``preempt_s``.
        """
        cfg = self.config
        excess = engine.online_occupancy(now) + 1 - engine.slots
        if excess > 0:
            return excess * self.hold_s(engine.record.service) / engine.slots
        is_full = engine.occupancy(now) + 1 > engine.slots
        return cfg.preempt_s if is_full else 0.0

    def _cost(self, engine: Engine, now: float) -> float:
        cfg = self.config
        cost = self.expected_wait(engine, now)
        cost += cfg.slot_cost_s * engine.occupancy(now)
        cost += self._distance_cost(engine.record.zone)
        return cost + cfg.jitter_s * self._random.random()

    def _distance_cost(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.config.zone_cost_s
        return self.config.region_cost_s
