"""Decides where batch items run beside online requests.

The load it answers: engines that serve in order of arrival, with online bursts every
few seconds. One entry at a time fills an engine's free places with batch items. It
leaves as many as online requests lately held at once, so that places do not change
hands with each request; where more requests are at an engine than it has places, items
give way.
"""

from collections import deque

import attrs

from ..dispatch import Engine, PeerLoads

# How far back the most online requests at once are looked for: about half as long as
# one holds its place, so that a place is not handed back between two arrivals of a
# burst and is not kept long after it.
PEAK_S = 0.35
# Between two times that items are taken back from one engine: the effect of the first
# shows in the counts by then.
YIELD_GAP_S = 0.05


@attrs.define
class _Recent:
    """The online requests at an engine in the last `PEAK_S` seconds."""

    samples: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, now: float, online: float) -> None:
        while self.samples and now - self.samples[0][0] > PEAK_S:
            self.samples.popleft()
        # Smaller samples before this one can no longer be the peak.
        while self.samples and self.samples[-1][1] <= online:
            self.samples.pop()
        self.samples.append((now, online))

    @property
    def peak(self) -> float:
        return self.samples[0][1] if self.samples else 0.0


@attrs.define
class BatchSlots:
    """Keeps what online requests lately needed at each engine."""

    name: str
    loads: PeerLoads
    _recent: dict[str, _Recent] = attrs.field(factory=dict)
    _yielded: dict[str, float] = attrs.field(factory=dict)

    def observe(self, engines: list[Engine], now: float) -> None:
        """Takes the online requests that are at the engines now."""
        for engine in engines:
            recent = self._recent.setdefault(engine.record.id, _Recent())
            recent.add(now, engine.online_occupancy(now))

    def peak(self, engine: Engine) -> float:
        """Returns the most online requests that were lately there at once."""
        recent = self._recent.get(engine.record.id)
        return recent.peak if recent is not None else 0.0

    def free(self, engine: Engine, now: float) -> int:
        """Returns how many more batch items an engine has places for."""
        peak = self.peak(engine)
        batch = engine.batch + engine.peers.batch
        held = max(engine.occupancy(now), peak + batch)
        return max(0, int(engine.slots - held))

    def to_yield(self, engine: Engine, now: float) -> int:
        """Returns how many of this entry's items should give their places back.

        If several entries have items there, all rank them alike, so that together
        they give back what is needed and not more.
        """
        excess = int(engine.occupancy(now) - engine.slots)
        if engine.batch == 0 or excess <= 0:
            return 0
        last = self._yielded.get(engine.record.id, float("-inf"))
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
        self._yielded[engine.record.id] = now

    def _ranked_holders(self, engine: Engine) -> list[tuple[str, int]]:
        held = self.loads.batch_holders(engine.record.id)
        held[self.name] = engine.batch
        # Those with the most items come first.
        return sorted(held.items(), key=lambda pair: (-pair[1], pair[0]))
