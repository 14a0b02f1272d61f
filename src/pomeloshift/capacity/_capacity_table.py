"""What is known of the speed of all engines."""

from collections.abc import Iterable

import attrs

from ..dispatch import Engine, EngineRecord, Route, RouteKind
from ._cold_effect import ColdEffect
from ._engine_capacity import EngineCapacity, EngineCurve
from ._service_curve import ServiceCurve

# How long a service is placed by learned times after the last sign that its engines
# differ: a reported slowdown or the end of a slow start.
ACTIVE_S = 30.0
# How long a gateway that joins a running deployment only measures. Until then engines
# may run requests of its predecessors that no gateway knows: after a restart of all
# gateways, placement by few measurements made several times as many streams late.
WARM_UP_S = 6.0
# First guesses of the time to the first event and between events, at half of the slots.
START_GUESS_S = 0.05
GAP_GUESS_S = 0.01
# Events after the first one of a request, until measured.
EVENTS_GUESS = 24.0
EVENTS_SMOOTHING = 0.02
# Longest time to the first event, and longest pause, where no route states them.
OBJECTIVE_S = 0.3
PAUSE_S = 0.25


@attrs.define
class _Service:
    """What the engines of a service have in common."""

    start: ServiceCurve = attrs.field(factory=lambda: ServiceCurve.of(START_GUESS_S))
    pace: ServiceCurve = attrs.field(factory=lambda: ServiceCurve.of(GAP_GUESS_S))
    cold: ColdEffect = attrs.field(factory=ColdEffect)
    events: float = EVENTS_GUESS
    active_until: float = float("-inf")
    objective_s: float = OBJECTIVE_S
    pause_s: float = PAUSE_S


@attrs.define
class CapacityTable:
    """The expected times of each engine's current incarnation, from measured ones.

    A service is active while its engines report a slowdown, or while one of them is
    slow after its start; only then is its work placed by what is learned, and not
    before ``active_from`` (monotonic seconds). Implements `dispatch.CapacityModel`.

        table.note_slowdown(engine, 5.0, now)
        if table.is_active("lm", now):
            start_s = table.start_s(engine, now)
    """

    is_enabled: bool = True
    active_from: float = float("-inf")
    _services: dict[str, _Service] = attrs.field(factory=dict)
    _engines: dict[str, EngineCapacity] = attrs.field(factory=dict)
    _records: dict[str, EngineRecord] = attrs.field(factory=dict)

    def is_active(self, service: str, now: float) -> bool:
        """Whether the work of a service is placed by learned times."""
        known = self._services.get(service)
        if not self.is_enabled or known is None:
            return False
        return self.active_from <= now < known.active_until

    def note_record(self, record: EngineRecord, now: float) -> None:
        """Records that an engine's record was read; a repeated one says nothing new."""
        if record == self._records.get(record.id):
            return
        self._records[record.id] = record
        if record.cold_left_s <= 0:
            return
        capacity = self._of(record, record.incarnation)
        capacity.cold_until = now + record.cold_left_s
        service = self._service(record.service)
        until = capacity.cold_until + ACTIVE_S
        service.active_until = max(service.active_until, until)

    def note_slowdown(self, engine: Engine, slowdown: float, now: float) -> None:
        """Records a slowdown that an engine reported."""
        self.of(engine).slowdown.note(slowdown, now)
        service = self._service(engine.record.service)
        service.active_until = max(service.active_until, now + ACTIVE_S)

    def note_events(self, service: str, events: int) -> None:
        """Records the number of events of a complete online response."""
        known = self._service(service)
        known.events += EVENTS_SMOOTHING * (events - known.events)

    def keep_only(self, engine_ids: set[str]) -> None:
        """Drops what is known of all other engines."""
        for table in (self._engines, self._records):
            for engine_id in table.keys() - engine_ids:
                del table[engine_id]

    def of(self, engine: Engine) -> EngineCapacity:
        """Returns what is known of an engine's current incarnation."""
        return self._of(engine.record, engine.incarnation)

    @property
    def engines(self) -> dict[str, EngineCapacity]:
        """The known engines by id."""
        return self._engines

    def start_s(self, engine: Engine, now: float) -> float:
        """Returns the expected time to the first event of one more request.

        It does not contain a wait for a slot.
        """
        occupancy = engine.occupancy(now) + 1
        return self.of(engine).start_s(occupancy, engine.slots, now)

    def gap_s(self, engine: Engine, now: float) -> float:
        """Returns the expected time between two events of one more request."""
        occupancy = engine.occupancy(now) + 1
        return self.of(engine).gap_s(occupancy, engine.slots, now)

    def run_s(self, engine: Engine, now: float) -> float:
        """Returns the expected time from the first event to the last one."""
        return self._service(engine.record.service).events * self.gap_s(engine, now)

    def hold_s(self, engine: Engine, now: float) -> float:
        """Returns how long a request occupies a slot of the engine while it is full."""
        capacity, slots = self.of(engine), engine.slots
        events = self._service(engine.record.service).events
        start_s = capacity.start_s(slots, slots, now)
        return start_s + events * capacity.gap_s(slots, slots, now)

    def note_routes(self, routes: Iterable[Route]) -> None:
        """Takes the objectives of streams from the routes in force."""
        streams = [route for route in routes if route.kind is RouteKind.STREAMING]
        for name in {name for route in streams for name in route.services}:
            own = [route for route in streams if name in route.services]
            service = self._service(name)
            service.objective_s = min(route.objective_s for route in own)
            gaps_s = [route.event_gap_s for route in own if route.event_gap_s > 0]
            service.pause_s = min(gaps_s, default=PAUSE_S)

    def max_requests(self, engine: Engine, now: float) -> int:
        """Returns with how many requests the engine still serves streams in time.

        That is, the first event comes within the objective and no pause is too long. A
        stream pauses while the engine begins another request.
        """
        capacity, slots = self.of(engine), engine.slots
        service = self._service(engine.record.service)
        for count in range(slots, 0, -1):
            start_s = capacity.start_s(count, slots, now)
            pause_s = start_s + capacity.gap_s(count, slots, now)
            if start_s <= service.objective_s and pause_s <= service.pause_s:
                return count
        return 0

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())

    def _of(self, record: EngineRecord, incarnation: int) -> EngineCapacity:
        known = self._engines.get(record.id)
        if known is None or known.incarnation != incarnation:
            service = self._service(record.service)
            known = self._engines[record.id] = EngineCapacity(
                incarnation,
                EngineCurve(service.start),
                EngineCurve(service.pace),
                service.cold,
            )
        return known
