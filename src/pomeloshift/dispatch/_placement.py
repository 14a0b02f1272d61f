"""Chooses the engine for a request.

The load it answers: online requests that hold a place for well under a second, at
engines that are nearly full with batch items which hold theirs for several.
"""

from random import Random

import attrs

from ._engine import Engine


@attrs.frozen
class PlacementConfig:
    """Weights of the placement, in seconds unless said otherwise.

    ``hold_s`` is how long an online request holds a place until some were measured,
    and ``hold_smoothing`` the weight of a new measurement;
    ``zone_cost_s`` and ``region_cost_s`` stand for the delay and the paid bytes of a
    request that leaves its zone or region (measured: under a hundredth of what a late
    answer costs); ``silent_s`` is how long an engine may send nothing while a request
    waits there (several times the longest pause of a full engine); ``yield_s`` is how
    long a batch item takes to give its place back; ``noise_s`` spreads entries that
    see the same load.
    """

    hold_s: float = 0.7
    hold_smoothing: float = 0.05
    slot_cost_s: float = 0.004
    zone_cost_s: float = 0.004
    region_cost_s: float = 0.045
    silent_s: float = 0.5
    yield_s: float = 0.06
    noise_s: float = 0.004


@attrs.define
class Placement:
    """Orders engines by the wait that a new request would have there."""

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
        """Returns the engine with the least expected wait, or None.

        Engines that refused, failed or fell silent are used only if no other is left.
        """
        allowed = [e for e in engines if e.record.id not in excluded]
        sound = [e for e in allowed if self.is_healthy(e, now)]
        pool = sound or allowed
        if not pool:
            return None
        return min(pool, key=lambda e: self._cost(e, now))

    def note_hold(self, service: str, held_s: float) -> None:
        """Takes how long an online request held its place, its wait left out."""
        known = self.hold_s(service)
        self._hold_s[service] = known + self.config.hold_smoothing * (held_s - known)

    def hold_s(self, service: str) -> float:
        """Returns how long a service's online requests usually hold a place."""
        return self._hold_s.get(service, self.config.hold_s)

    def is_healthy(self, engine: Engine, now: float) -> bool:
        """Whether nothing speaks against using the engine."""
        if engine.avoided_until > now:
            return False
        return engine.silence(now) < self.config.silent_s

    def expected_wait(self, engine: Engine, now: float) -> float:
        """Returns the seconds that a new online request would wait for a place."""
        cfg = self.config
        excess = engine.online_occupancy(now) + 1 - engine.slots
        if excess > 0:
            return excess * self.hold_s(engine.record.service) / engine.slots
        is_full = engine.occupancy(now) + 1 > engine.slots
        return cfg.yield_s if is_full else 0.0

    def _cost(self, engine: Engine, now: float) -> float:
        cfg = self.config
        cost = self.expected_wait(engine, now)
        cost += cfg.slot_cost_s * engine.occupancy(now)
        cost += self._distance(engine.record.zone)
        return cost + cfg.noise_s * self._random.random()

    def _distance(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.config.zone_cost_s
        return self.config.region_cost_s
