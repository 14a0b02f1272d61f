"""Measures engines' responses for what is learned about their speed."""

from random import Random

import attrs

from ..capacity import WARM_UP_S, CapacityTable, EngineCapacity, EngineMemory
from ..dispatch import (
    EVENT_STREAM,
    Engine,
    EngineLoad,
    Placement,
    PlacementConfig,
    ServingConfig,
)
from ..http1 import ResponseHead
from ..platform import PlatformSettings
from ._timing import PACE_EVENTS


@attrs.define
class LearnedCapacity:
    """Feeds a `CapacityTable` with the requests that a gateway sends."""

    table: CapacityTable
    placement: Placement
    memory: EngineMemory = attrs.field(factory=EngineMemory)

    def apply_config(self, config: ServingConfig) -> None:
        """Takes the objectives of routes and the memory of engines."""
        self.table.note_routes(config.routes)
        self.memory.note_services(config.services if self.table.is_enabled else ())

    def fitting(
        self, engines: list[Engine], service: str | None, tokens: int
    ) -> list[Engine]:
        """Returns the engines of a service that have memory for a batch item."""
        return [
            engine
            for engine in engines
            if engine.record.service == service
            and self.memory.has_room(engine, tokens, is_batch=True)
        ]

    def take_item(self, engine: Engine, tokens: int) -> None:
        """Counts a batch item that was chosen for an engine."""
        engine.reserve_slot(tokens)
        self.memory.note_request(tokens, is_batch=True)

    def note_load(self, engine: Engine, load: EngineLoad, now: float) -> None:
        """Records the slowdown in a load, if the engine reports one."""
        if load.slowdown is not None and self.table.is_enabled:
            self.table.note_slowdown(engine, load.slowdown, now)

    def begin(
        self, engine: Engine, now: float, is_batch: bool = False
    ) -> "MeasuredRun | None":
        """Returns the measurement of a request that is sent to an engine now.

        None where the work of the engine's service is not placed by learned times.
        """
        if not self.table.is_active(engine.record.service, now):
            return None
        # The request is not counted yet.
        wait_s = self.placement.expected_wait(engine, now)
        expected_s = wait_s + self.table.start_s(engine, now)
        capacity = self.table.of(engine)
        key = capacity.begin(expected_s, now)
        table = None if is_batch else self.table
        return MeasuredRun(engine, capacity, key, now, wait_s, expected_s, table)


@attrs.define
class MeasuredRun:
    """Measures one request from its sending to its last event.

    ``wait_s`` is the expected wait for a slot, ``expected_s`` the expected time to the
    first event, with this wait.
    """

    engine: Engine
    capacity: EngineCapacity
    _key: int
    _sent_at: float
    wait_s: float
    expected_s: float
    _online_table: CapacityTable | None = None
    started_s: float | None = None
    events: int = 0
    is_paused: bool = False
    _is_stream: bool = False
    _gap_began_at: float = 0.0
    _gap_events: int = 0

    def note_head(self, head: ResponseHead) -> None:
        """Records the head of the response; only streams are measured."""
        self._is_stream = head.status == 200 and head.media_type == EVENT_STREAM
        if not self._is_stream:
            self.end()

    def note_data(self, data: bytes, now: float) -> None:
        """Records a piece of the response."""
        count = data.count(b"\n\n")
        if not self._is_stream or count == 0:
            return
        self.events += count
        if self.started_s is None:
            self._note_start(now)
        elif self.is_paused:
            # The time that the caller takes to read is not the engine's.
            self._gap_began_at, self._gap_events = now, 0
        else:
            self._gap_events += count
            if self._gap_events >= PACE_EVENTS:
                self._note_pace(now)

    def complete(self) -> None:
        """Records that the response is complete."""
        if self._online_table is not None and self.events > 0:
            self._online_table.note_events(self.engine.record.service, self.events - 1)

    def end(self) -> None:
        """Records that the request is over."""
        self.capacity.end(self._key)

    def _note_start(self, now: float) -> None:
        self.capacity.end(self._key)
        self.started_s = now - self._sent_at
        self._gap_began_at = now
        engine = self.engine
        # What a wait took too long counts in proportion to the expected times.
        start_share = (self.expected_s - self.wait_s) / max(self.expected_s, 1e-6)
        self.capacity.note_start(
            engine.occupancy(now), engine.slots, self.started_s * start_share, now
        )

    def _note_pace(self, now: float) -> None:
        gap_s = (now - self._gap_began_at) / self._gap_events
        self.capacity.note_pace(
            self.engine.occupancy(now), self.engine.slots, gap_s, self._gap_events, now
        )
        self._gap_began_at, self._gap_events = now, 0


def new_capacity(
    settings: PlatformSettings, random: Random, now: float
) -> LearnedCapacity:
    """Returns the placement of a gateway and what it learns about engines."""
    active_from = now if settings.is_first_start else now + WARM_UP_S
    table = CapacityTable(settings.is_placement_learned, active_from)
    zone, regions = settings.zone, settings.regions
    placement = Placement(zone, regions, PlacementConfig(), random, learned=table)
    return LearnedCapacity(table, placement)
