"""Applies the platform's list of engines to the fleet."""

from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import EngineRecord, Fleet
from ..platform import KeyedRecord, MalformedError, decode_engine
from ._events import EventLog
from ._topic_follower import TopicHandlers


@attrs.define
class EngineList:
    """Applies the records of the engines' topic."""

    fleet: Fleet
    events: EventLog
    clock: Any
    # Called with each engine's record that is new or has changed.
    on_record: Callable[[EngineRecord], None] = lambda record: None
    # The records of a snapshot that is being applied.
    _stored: list[EngineRecord] = attrs.field(factory=list, init=False)

    def handlers(self) -> TopicHandlers:
        """Returns the handlers for a follower of the engines' topic."""
        return TopicHandlers(
            self._apply_record,
            begin_snapshot=self._begin_snapshot,
            in_snapshot=self._take_stored,
            end_snapshot=self._end_snapshot,
            reachable=self._note_reachable,
        )

    def drop_missing(self) -> None:
        """Drops engines that are still not listed after an outage of the store."""
        for engine_id in self.fleet.drop_missing(self.clock.monotonic()):
            self.events.info("engine_gone", engine=engine_id)

    def _begin_snapshot(self, records: list[KeyedRecord]) -> None:
        self._stored = []

    def _take_stored(self, record: KeyedRecord) -> None:
        engine_record = self._decode(record)
        if engine_record is not None:
            self._stored.append(engine_record)
            self.on_record(engine_record)

    def _end_snapshot(self, end: int) -> None:
        self.fleet.replace(self._stored, self.clock.monotonic())
        self.events.info("engines_read", count=len(self._stored), offset=end)
        self._stored = []

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            is_dropped = self.fleet.remove(record.key, self.clock.monotonic())
            self.events.info(
                "engine_removed",
                engine=record.key,
                offset=record.offset,
                is_used=not is_dropped,
            )
            return
        engine_record = self._decode(record)
        if engine_record is not None and self.fleet.put(engine_record):
            self.on_record(engine_record)
            self.events.info(
                "engine_changed",
                engine=engine_record.id,
                address=engine_record.address,
                service=engine_record.service,
                version=engine_record.version,
                is_draining=engine_record.is_draining,
                incarnation=engine_record.incarnation,
                offset=record.offset,
            )

    def _decode(self, record: KeyedRecord) -> EngineRecord | None:
        if record.value is None:
            return None
        try:
            return decode_engine(record.key, record.value)
        except MalformedError as exc:
            self.events.warn("engine_ignored", engine=record.key, why=exc.message)
            return None

    def _note_reachable(self, is_reachable: bool) -> None:
        if is_reachable:
            self.fleet.store_regained(self.clock.monotonic())
        else:
            self.fleet.store_lost()
