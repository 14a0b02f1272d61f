"""Folds the platform's list of engines into the fleet."""

from typing import Any

import attrs

from ..dispatch import EngineRecord, Fleet
from ..platform import KeyedRecord, MalformedError, decode_engine
from ._events import EventLog
from ._topic_follower import TopicHandlers


@attrs.define
class EngineList:
    """Takes the records of the engines' topic."""

    fleet: Fleet
    events: EventLog
    clock: Any

    def handlers(self) -> TopicHandlers:
        """Returns what a follower of the topic calls."""
        return TopicHandlers(
            self._take, snapshot=self._take_all, reachable=self._note_reachable
        )

    def drop_missing(self) -> None:
        """Drops engines that are still missing after an outage of the store."""
        for engine_id in self.fleet.drop_missing(self.clock.monotonic()):
            self.events.info("engine_gone", engine=engine_id)

    def _take_all(self, records: list[KeyedRecord], end: int) -> None:
        entries = [e for e in map(self._decode, records) if e is not None]
        self.fleet.replace(entries, self.clock.monotonic())
        self.events.info("engines_read", count=len(entries), offset=end)

    def _take(self, record: KeyedRecord) -> None:
        if record.value is None:
            is_dropped = self.fleet.remove(record.key, self.clock.monotonic())
            self.events.info(
                "engine_removed",
                engine=record.key,
                offset=record.offset,
                is_used=not is_dropped,
            )
            return
        entry = self._decode(record)
        if entry is not None and self.fleet.put(entry):
            self.events.info(
                "engine_changed",
                engine=entry.id,
                address=entry.address,
                service=entry.service,
                is_draining=entry.is_draining,
                incarnation=entry.incarnation,
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
