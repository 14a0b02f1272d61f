"""Decides where batch items run beside online requests.

The load it answers: engines that serve in order of arrival, with online bursts every
few seconds. Batch items take the places that online requests leave; where more
requests are at an engine than it has places, the items that lose least give way.
"""

import attrs

from ..direct import Engine, PeerLoads

# Places of an engine that batch items leave free for online arrivals.
RESERVED_PLACES = 0.5
# Between two items that this entry starts at, or takes back from, one engine: the
# other entries have heard of the first one by then.
START_GAP_S = 0.12
YIELD_GAP_S = 0.05


@attrs.define
class BatchPlaces:
    """Keeps when items were last started and stopped at each engine."""

    name: str
    loads: PeerLoads
    _started: dict[str, float] = attrs.field(factory=dict)
    _yielded: dict[str, float] = attrs.field(factory=dict)

    def choose(self, engines: list[Engine], now: float) -> Engine | None:
        """Returns the engine with the most free places, or None if none has one."""
        free = [e for e in engines if self._has_place(e, now)]
        return max(free, key=lambda e: e.slots - e.occupancy(now), default=None)

    def started(self, engine: Engine, now: float) -> None:
        """Notes that an item was started."""
        self._started[engine.entry.id] = now

    def to_yield(self, engine: Engine, now: float) -> int:
        """Returns how many of this entry's items should give their places back.

        All entries rank the holders of an engine's batch items alike, so that
        together they give back what is needed and not more.
        """
        excess = int(engine.occupancy(now) - engine.slots)
        if engine.batch == 0 or excess <= 0:
            return 0
        last = self._yielded.get(engine.entry.id, float("-inf"))
        if now - last < YIELD_GAP_S:
            return 0
        for name, held in self._ranked_holders(engine):
            if name == self.name:
                return min(excess, held)
            excess -= held
            if excess <= 0:
                break
        return 0

    def yielded(self, engine: Engine, now: float) -> None:
        """Notes that items were stopped."""
        self._yielded[engine.entry.id] = now

    def _ranked_holders(self, engine: Engine) -> list[tuple[str, int]]:
        held = self.loads.batch_holders(engine.entry.id)
        held[self.name] = engine.batch
        # Those with the most items come first.
        return sorted(held.items(), key=lambda pair: (-pair[1], pair[0]))

    def _has_place(self, engine: Engine, now: float) -> bool:
        last = self._started.get(engine.entry.id, float("-inf"))
        if now - last < START_GAP_S:
            return False
        return engine.occupancy(now) + 1 + RESERVED_PLACES <= engine.slots
