"""The engines that an entry may use."""

from collections.abc import Callable

import attrs

from ._engine import Engine
from ._engine_record import EngineRecord
from ._peer_loads import NO_REQUESTS, RequestCounts

# Time after an outage of the store within which live engines whose records expired are
# listed again: the platform guarantees about 2 s.
EXPIRY_GRACE_S = 2.2
# How many engines that are leaving are remembered: what a large fleet replaces in days.
MAX_LEAVING = 10_000


@attrs.define
class Fleet:
    """The engines by id, built from the records of the engine list.

    While the store is available, a removed record takes its engine out of use at
    once. A record that is removed during an outage of the store, or in the grace
    period of `EXPIRY_GRACE_S` after one, leaves its engine in use. After the grace
    period `drop_missing` drops the engine unless the record has reappeared. An engine
    whose response said that it is leaving stays out of use until it starts again,
    whatever its record says.
    ``peers_of`` returns the numbers of requests that other entries have at an engine.
    """

    engines: dict[str, Engine] = attrs.field(factory=dict)
    peers_of: Callable[[str], RequestCounts] = lambda engine_id: NO_REQUESTS
    _missing: set[str] = attrs.field(factory=set)
    _store_regained_at: float | None = None
    is_store_unavailable: bool = False
    # The id and the incarnation of each engine that is leaving, the oldest first.
    _leaving: dict[tuple[str, int], None] = attrs.field(factory=dict)

    def note_leaving(self, engine: Engine) -> bool:
        """Takes an engine that leaves out of use; returns False if it was before."""
        if engine.is_leaving:
            return False
        engine.is_leaving = True
        self._leaving[engine.record.id, engine.incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def note_crashed(self, engine_id: str, incarnation: int) -> None:
        """Called when a crash is known, also of an incarnation that has been replaced.

        The engine may start again under its id, and its new record can be late.
        """
        engine = self.engines.get(engine_id)
        if engine is not None and engine.incarnation <= incarnation:
            engine.may_have_restarted = True

    def put(self, record: EngineRecord) -> bool:
        """Applies an engine's record; returns whether the fleet changed."""
        self._missing.discard(record.id)
        known = self.engines.get(record.id)
        is_leaving = (record.id, record.incarnation) in self._leaving
        if known is None or not _is_same_start(known, record):
            if known is not None:
                known.is_gone = True
            self.engines[record.id] = Engine(
                record, peers=self.peers_of(record.id), is_leaving=is_leaving
            )
            return True
        if known.record == record and not known.is_gone:
            return False
        known.record = record
        known.reported_incarnation = None
        known.is_leaving = is_leaving
        known.is_gone = False
        return True

    def remove(self, engine_id: str, now: float) -> bool:
        """Applies a record's removal; returns whether the engine is out of use."""
        if engine_id not in self.engines:
            return False
        if self.is_store_unavailable or self._is_in_grace(now):
            self._missing.add(engine_id)
            return False
        self._drop(engine_id)
        return True

    def replace(self, records: list[EngineRecord], now: float) -> None:
        """Applies a complete list of records, as read in a snapshot of the topic.

        Engines that are not in it are removed as in `remove`.
        """
        for record in records:
            self.put(record)
        present = {record.id for record in records}
        for engine_id in [e for e in self.engines if e not in present]:
            self.remove(engine_id, now)

    def store_lost(self) -> None:
        """Called when the store becomes unavailable.

        From then on an engine stays in use without its record, because a record can
        expire although its engine is alive.
        """
        self.is_store_unavailable = True

    def store_regained(self, now: float) -> None:
        """Called when the store is available again; starts the grace period."""
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            self._store_regained_at = now

    def drop_missing(self, now: float) -> list[str]:
        """Drops engines still missing after the grace period; returns their ids."""
        if not self._missing or self.is_store_unavailable or self._is_in_grace(now):
            return []
        dropped = sorted(self._missing)
        for engine_id in dropped:
            self._drop(engine_id)
        self._missing.clear()
        return dropped

    def of(self, service: str) -> list[Engine]:
        """Returns the engines of a service that take new requests."""
        return [
            engine
            for engine in self.engines.values()
            if engine.record.service == service and engine.is_serving
        ]

    def _is_in_grace(self, now: float) -> bool:
        return self._store_regained_at is not None and (
            now - self._store_regained_at < EXPIRY_GRACE_S
        )

    def _drop(self, engine_id: str) -> None:
        engine = self.engines.pop(engine_id, None)
        if engine is not None:
            engine.is_gone = True


def _is_same_start(engine: Engine, record: EngineRecord) -> bool:
    """Whether a record is of the same run of the same software as an engine's."""
    known = (engine.incarnation, engine.record.software)
    return known == (record.incarnation, record.software)
