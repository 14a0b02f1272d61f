"""Decides where batch items run beside online requests.

It is designed for engines that serve in order of arrival and for online bursts every
few seconds. One entry at a time fills an engine's free slots with batch items. It
leaves as many slots free as online requests recently used at once, so that slots do not
change hands with each request. When an engine has more requests than slots, batch items
are preempted.
"""

from collections import deque

import attrs

from ..dispatch import CapacityModel, Engine, PeerLoads

# Window over which the peak of concurrent online requests is taken: about half as long
# as a request holds its slot, so that a slot is not returned to batch work between two
# arrivals of a burst and does not stay free long after it.
PEAK_S = 0.35
# Minimum time between two preemptions at one engine, after which the counts reflect
# the first preemption.
PREEMPT_INTERVAL_S = 0.05


@attrs.define
class _Recent:
    """The online requests at an engine in the last `PEAK_S` seconds."""

    samples: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, now: float, online: float) -> None:
        while self.samples and now - self.samples[0][0] > PEAK_S:
            self.samples.popleft()
        # Earlier samples that are not larger can no longer be the peak.
        while self.samples and self.samples[-1][1] <= online:
            self.samples.pop()
        self.samples.append((now, online))

    @property
    def peak(self) -> float:
        return self.samples[0][1] if self.samples else 0.0


@attrs.define
class BatchSlots:
    """Decides how many batch items each engine can run beside online requests.

    ``name`` is this entry's name, and ``loads`` holds the counts that peers report.
    ``learned`` knows how many requests an engine can run without making streams late.
    """

    name: str
    loads: PeerLoads
    _recent: dict[str, _Recent] = attrs.field(factory=dict)
    _preempted_at: dict[str, float] = attrs.field(factory=dict)
    learned: CapacityModel | None = None

    def observe(self, engines: list[Engine], now: float) -> None:
        """Records how many online requests are at each engine; called on each poll."""
        for engine in engines:
            recent = self._recent.setdefault(engine.record.id, _Recent())
            recent.add(now, engine.online_occupancy(now))

    def peak(self, engine: Engine) -> float:
        """Returns the most online requests at once in the last `PEAK_S` seconds."""
        recent = self._recent.get(engine.record.id)
        return recent.peak if recent is not None else 0.0

    def free(self, engine: Engine, now: float) -> int:
        """Returns how many more batch items an engine has slots for."""
        peak = self.peak(engine)
        batch = engine.batch + engine.peers.batch
        held = max(engine.occupancy(now), peak + batch)
        return max(0, int(self._usable_slots(engine, now) - held))

    def _usable_slots(self, engine: Engine, now: float) -> int:
        """Returns how many slots batch items may fill where online requests leave them.

        An engine that cannot use all its slots in time keeps one for online requests,
        but one item shows how fast a cold or slow engine has become.
        """
        learned = self.learned
        if learned is None or not learned.is_active(engine.record.service, now):
            return engine.slots
        count = learned.max_requests(engine, now)
        return engine.slots if count >= engine.slots else max(1, count - 1)

    def items_to_preempt(self, engine: Engine, now: float) -> int:
        """Returns how many of this entry's items to preempt.

        If several entries have items at the engine, all of them compute the same
        ranking, so that together they release as many slots as needed and no more.
        """
        excess = int(engine.occupancy(now) - engine.slots)
        if engine.batch == 0 or excess <= 0:
            return 0
        last = self._preempted_at.get(engine.record.id, float("-inf"))
        if now - last < PREEMPT_INTERVAL_S:
            return 0
        for name, held in self._ranked_holders(engine):
            if name == self.name:
                return min(excess, held)
            excess -= held
            if excess <= 0:
                break
        return 0

    def record_preempted(self, engine: Engine, now: float) -> None:
        """Records that items were preempted at an engine."""
        self._preempted_at[engine.record.id] = now

    def _ranked_holders(self, engine: Engine) -> list[tuple[str, int]]:
        held = self.loads.batch_holders(engine.record.id)
        held[self.name] = engine.batch
        # Entries with the most items come first.
        return sorted(held.items(), key=lambda pair: (-pair[1], pair[0]))
