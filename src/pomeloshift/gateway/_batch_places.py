"""Decides where batch items run beside online requests.

The load it answers: engines that serve in order of arrival, with online bursts every
few seconds. Batch items take the places that online requests leave; where requests
wait, the item that loses least gives its place back.
"""

import attrs

from ..direct import Engine

# Places of an engine that batch items leave free for online arrivals.
RESERVED_PLACES = 1.0
# Reports of a load this old say nothing about free places.
LOAD_FRESH_S = 0.5
# Between two items that this entry starts at, or takes back from, one engine: a load
# report shows the first one by then.
START_GAP_S = 0.15
YIELD_GAP_S = 0.25


@attrs.define
class BatchPlaces:
    """Keeps when items were last started and stopped at each engine."""

    _started: dict[str, float] = attrs.field(factory=dict)
    _yielded: dict[str, float] = attrs.field(factory=dict)

    def choose(self, engines: list[Engine], now: float) -> Engine | None:
        """Returns the engine with the most free places, or None if none has one."""
        free = [e for e in engines if self._has_place(e, now)]
        return max(free, key=lambda e: e.slots - e.occupancy(now), default=None)

    def started(self, engine: Engine, now: float) -> None:
        """Notes that an item was started."""
        self._started[engine.entry.id] = now

    def must_yield(self, engine: Engine, now: float) -> bool:
        """Whether an item should give its place to a waiting request."""
        if engine.batch == 0 or engine.waiting(now) == 0:
            return False
        last = self._yielded.get(engine.entry.id, float("-inf"))
        return now - last >= YIELD_GAP_S

    def yielded(self, engine: Engine, now: float) -> None:
        """Notes that an item was stopped."""
        self._yielded[engine.entry.id] = now

    def _has_place(self, engine: Engine, now: float) -> bool:
        if engine.load_age(now) > LOAD_FRESH_S:
            return False
        last = self._started.get(engine.entry.id, float("-inf"))
        if now - last < START_GAP_S:
            return False
        return engine.occupancy(now) + 1 + RESERVED_PLACES <= engine.slots
