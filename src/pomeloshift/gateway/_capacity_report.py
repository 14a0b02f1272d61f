"""Reports what is learned about engines, in log lines and metrics."""

from typing import Any

import attrs

from ..capacity import CapacityTable
from ..dispatch import Engine, Fleet
from ._events import EventLog
from ._learned_engine import LearnedEngine

# An estimate is logged when it has changed by more than this share.
LOGGED_CHANGE = 0.2
# How many engines have metrics of their own: the first ones by id.
MAX_REPORTED = 200


@attrs.define
class CapacityReport:
    """Logs changed estimates and drops those of engines that have left."""

    table: CapacityTable
    fleet: Fleet
    events: EventLog
    _clock: Any
    _logged: dict[str, LearnedEngine] = attrs.field(factory=dict)

    def tick(self) -> None:
        """Logs each engine whose estimates have changed by a fifth."""
        self.table.keep_only(set(self.fleet.engines))
        for engine_id in self._logged.keys() - self.fleet.engines.keys():
            del self._logged[engine_id]
        now = self._clock.monotonic()
        for engine in self.fleet.engines.values():
            if not self.table.is_active(engine.record.service, now):
                continue
            learned = self._learned(engine, now)
            if _has_changed(self._logged.get(learned.engine), learned):
                self._logged[learned.engine] = learned
                self.events.info("engine_speed_changed", **attrs.asdict(learned))

    def learned(self) -> list[LearnedEngine]:
        """Returns what is learned of the engines of active services, a bounded list."""
        now = self._clock.monotonic()
        engines = sorted(self.fleet.engines.items())
        active = [
            engine
            for _, engine in engines
            if self.table.is_active(engine.record.service, now)
        ]
        return [self._learned(engine, now) for engine in active[:MAX_REPORTED]]

    def _learned(self, engine: Engine, now: float) -> LearnedEngine:
        capacity, slots = self.table.of(engine), engine.slots
        measured_at = capacity.measured_at
        return LearnedEngine(
            engine.record.id,
            capacity.incarnation,
            capacity.start_s(slots / 2, slots, now),
            capacity.gap_s(slots / 2, slots, now),
            self.table.max_requests(engine, now),
            capacity.slowdown.at(now),
            capacity.is_cold(now),
            capacity.evidence(now),
            now - measured_at if measured_at > float("-inf") else -1.0,
        )


def _has_changed(before: LearnedEngine | None, now: LearnedEngine) -> bool:
    if before is None or before.incarnation != now.incarnation:
        return True
    pairs = ((before.start_s, now.start_s), (before.gap_s, now.gap_s))
    return any(abs(new - old) > LOGGED_CHANGE * old for old, new in pairs)
