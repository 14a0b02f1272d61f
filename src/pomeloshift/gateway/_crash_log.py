"""The crashes of engines under requests and prompt parts, shared through the store."""

from collections import Counter
from typing import Any

import attrs
import msgspec

from ..dispatch import (
    CrashCircumstances,
    CrashKeys,
    Engine,
    Fleet,
    Quarantine,
    QuarantineConfig,
    SilentRun,
    SilentRuns,
    TrialDelay,
    WatchedRun,
    WatchedRuns,
    is_part,
)
from ..jobs import Ownership
from ..net._periodic_tasks import PeriodicTasks
from ..platform import UNREADABLE, KeyedRecord, StoreClient
from ._crash_publisher import CrashPublisher
from ._crash_wire import CrashWire, crash_name, decode_crash
from ._events import EventLog
from ._log_writer import LogWriter
from ._timing import (
    CRASH_POLL_S,
    CRASH_READ_GAP_S,
    CRASH_REMOVAL_S,
    CRASH_TICK_S,
    CRASHES_WAIT_S,
    MAX_FAILED_TRIALS,
    MAX_SUSPECT_PARTS,
    OUTLIVE_S,
    OUTLIVE_TICK_S,
    PART_TRIAL_S,
    PROVEN_PART_CRASHES,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    QUARANTINE_TRIAL_S,
    TRIAL_RANK_S,
)
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.crashes"
PARTITION = 0
# Largest number of records in one append of expired or lost ones.
MAX_RECORDS_AN_APPEND = 200


@attrs.define(eq=False)
class CrashLog:
    """Knows the requests and the prompt parts that crash engines.

    Each crash is a record of its own in the store, with a key from the request's
    fingerprint or the part, and the engine's incarnation: gateways that observe one
    crash write the same key. A complete response removes the records of its request and
    its parts, and a run that goes on those of its parts under younger runs. Crashes
    that this gateway observes count at once, also while the store is unavailable.
    """

    _store: StoreClient
    _writer: LogWriter
    _fleet: Fleet
    _ownership: Ownership
    _events: EventLog
    _reactor: Any
    _clock: Any
    _quarantine: Quarantine = attrs.field(init=False)
    _silent: SilentRuns = attrs.field(factory=SilentRuns, init=False)
    _runs: WatchedRuns = attrs.field(factory=WatchedRuns, init=False)
    _checked_at: float = attrs.field(default=0.0, init=False)
    # When the stored records may be removed, by key; monotonic seconds.
    _stored: dict[str, float] = attrs.field(factory=dict, init=False)
    _known_causes: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _publisher: CrashPublisher = attrs.field(init=False)
    _started_at: float = attrs.field(default=0.0, init=False)
    _follower: TopicFollower = attrs.field(init=False)

    @_quarantine.default
    def _new_quarantine(self) -> Quarantine:
        return Quarantine(
            QuarantineConfig(
                crashes=QUARANTINE_CRASHES,
                proven_crashes=PROVEN_PART_CRASHES,
                quarantine_s=QUARANTINE_S,
                trial_s=QUARANTINE_TRIAL_S,
                part_trial_s=PART_TRIAL_S,
                max_failed_trials=MAX_FAILED_TRIALS,
                outlive_s=OUTLIVE_S,
                max_parts=MAX_SUSPECT_PARTS,
            )
        )

    @_publisher.default
    def _new_publisher(self) -> CrashPublisher:
        return CrashPublisher(self._writer, self._events, self._clock)

    @_follower.default
    def _new_follower(self) -> TopicFollower:
        return TopicFollower(
            TOPIC,
            PARTITION,
            self._store,
            self._reactor,
            self._clock,
            self._events,
            TopicHandlers(
                self._take_new,
                begin_snapshot=self._begin_snapshot,
                in_snapshot=self._take_stored,
            ),
            read_gap_s=CRASH_READ_GAP_S,
            poll_s=CRASH_POLL_S,
        )

    def start(self, tasks: PeriodicTasks) -> None:
        """Starts to follow the topic and to remove expired records."""
        self._started_at = self._now()
        self._follower.start()
        tasks.repeat(self._tick, CRASH_TICK_S)
        tasks.repeat(self._check_runs, OUTLIVE_TICK_S)

    def stop(self) -> None:
        """Stops following and writing."""
        self._follower.stop()
        self._publisher.stop()

    @property
    def is_ready(self) -> bool:
        """Whether the records were read, or could not be read for `CRASHES_WAIT_S`."""
        waited_s = self._now() - self._started_at
        return self._follower.is_synced or waited_s >= CRASHES_WAIT_S

    @property
    def has_unwritten(self) -> bool:
        """Whether records are queued for the store."""
        return self._publisher.has_unwritten

    def is_quarantined(self, keys: CrashKeys) -> bool:
        """Whether a request must not be sent to an engine."""
        return bool(self.blocking(keys))

    def blocking(self, keys: CrashKeys) -> tuple[str, ...]:
        """Returns the keys because of which a request must not be sent."""
        return self._quarantine.blocking(keys, self._now())

    def may_try(self, keys: CrashKeys, delay_s: TrialDelay | None = None) -> bool:
        """Returns whether a quarantined request may be sent once all the same.

        ``delay_s`` returns how much later than the first gateway this one may try a
        key, by default according to the order of the key's owners.
        """
        return self._quarantine.may_try(keys, self._now(), delay_s or self._delay_s)

    def take_trial(self, keys: CrashKeys, delay_s: TrialDelay | None = None) -> bool:
        """Returns `may_try` and, if that holds, counts the request as the trial."""
        return self._quarantine.take_trial(keys, self._now(), delay_s or self._delay_s)

    def return_trial(self, keys: CrashKeys) -> None:
        """Lets another request take the place of a trial that was not sent."""
        self._quarantine.return_trial(keys)

    def _delay_s(self, key: str) -> float:
        """Returns how much later than the key's owner this gateway may try it.

        Only some gateways may receive requests with a part. The number of those that
        may try it doubles with each step.
        """
        return TRIAL_RANK_S * self._ownership.rank(key).bit_length()

    def watch(
        self, keys: CrashKeys, engine: Engine, request_id: str, is_trial: bool
    ) -> WatchedRun:
        """Follows a run until `unwatch`: its events can show its parts harmless."""
        incarnation = engine.incarnation
        crash = crash_name(engine.record.id, incarnation)
        run = WatchedRun(keys, engine, incarnation, crash, request_id, is_trial)
        self._runs.add(run)
        return run

    def unwatch(self, run: WatchedRun) -> None:
        """Ends `watch`; a trial without an outcome makes room for another one."""
        self._runs.remove(run)
        if run.is_trial and not run.has_outcome:
            self.return_trial(run.keys)

    def quarantined_for(self, keys: CrashKeys) -> float:
        """Returns the seconds until a quarantined request may be served again."""
        return self._quarantine.blocked_for(keys, self._now())

    def count_crashes(self, key: str) -> int:
        """Returns the number of crashes during which a request or part was running."""
        return len(self._quarantine.crashes(key, self._now()))

    def count_quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        return self._quarantine.count_requests(self._now())

    def count_quarantined_parts(self) -> int:
        """Returns the number of quarantined prompt parts."""
        return len(self._quarantine.causes(self._now()))

    def note_crash(
        self,
        keys: CrashKeys,
        engine: Engine,
        request_id: str,
        circumstances: CrashCircumstances | None = None,
        incarnation: int | None = None,
    ) -> None:
        """Records that an engine crashed while it had the request.

        By default the engine had sent no event, and runs the ``incarnation`` that has
        crashed as far as known.
        """
        if incarnation is None:
            incarnation = engine.incarnation
        engine_id = engine.record.id
        crash = crash_name(engine_id, incarnation)
        circumstances = circumstances or CrashCircumstances()
        self._fleet.note_crashed(engine_id, incarnation)
        records: list[tuple[str, bytes | None]] = []
        positions = {part: place for place, part in enumerate(keys.part_keys)}
        for key in keys.all:
            now, position = self._now(), positions.get(key, 0)
            is_new = self._quarantine.note_crash(key, crash, now, position)
            has_more = self._quarantine.note_circumstances(
                key, crash, circumstances, now
            )
            wire = CrashWire(
                engine_id,
                incarnation,
                self._clock.wall(),
                position,
                circumstances.age_s,
                circumstances.is_trial,
            )
            if is_new:
                self._log_crash(key, wire, request_id)
            if is_new or has_more:
                records.append((f"{key}/{crash}", msgspec.json.encode(wire)))
        if records:
            self._publisher.publish(records)

    def note_run_crashed(self, run: WatchedRun) -> None:
        """Records that the engine of a run crashed."""
        run.has_outcome = True
        self.note_crash(
            run.keys, run.engine, run.request_id, run.circumstances, run.incarnation
        )

    def note_given_up(self, keys: CrashKeys, engine: Engine, request_id: str) -> None:
        """Records that a request was given up before the end of its response."""
        run = SilentRun(keys, request_id, engine, self._now(), engine.incarnation)
        self._silent.add(run)

    def note_run_given_up(self, run: WatchedRun, is_silent: bool) -> None:
        """Records that a run was given up before the end of its response.

        If its engine is silent, the engine may have crashed: the trial of a part stays
        used until that is known.
        """
        run.has_outcome = run.has_outcome or is_silent
        self._silent.add(
            SilentRun(
                run.keys,
                run.request_id,
                run.engine,
                self._now(),
                run.incarnation,
                run.circumstances,
            )
        )

    def note_answered(self, keys: CrashKeys, request_id: str) -> None:
        """Clears a request and its parts of crashes: an engine has completed it."""
        self._publish_cleared(
            self._quarantine.note_answered(keys, self._now()), request_id
        )

    def _check_runs(self) -> None:
        """Clears the parts of runs that go on of the crashes of younger runs."""
        now, since = self._now(), self._checked_at
        self._checked_at = now
        for run in self._runs.advanced_since(since):
            cleared = self._quarantine.note_outlived(
                run.keys, run.age_s, run.crash, now
            )
            run.has_outcome = run.has_outcome or bool(cleared)
            self._publish_cleared(cleared, run.request_id)

    def _publish_cleared(self, cleared: list[tuple[str, str]], request_id: str) -> None:
        if not cleared:
            return
        for key, crashes in Counter(key for key, _ in cleared).items():
            name = "part" if is_part(key) else "fingerprint"
            self._events.info(
                "crashes_cleared", id=request_id, **{name: key}, crashes=crashes
            )
        self._publisher.publish([(f"{key}/{crash}", None) for key, crash in cleared])

    def _tick(self) -> None:
        now = self._now()
        for run in self._silent.take_crashed(now):
            self.note_crash(
                run.keys,
                run.engine,
                run.request_id,
                run.circumstances,
                run.incarnation,
            )
        self._quarantine.expire(now)
        self._log_causes()
        if self._follower.is_reachable and self._publisher.take_lost(now):
            self._publish_again(now)
        if self._ownership.owns(TOPIC):
            self._remove_expired(now)

    def _remove_expired(self, now: float) -> None:
        expired = [key for key, at in self._stored.items() if at <= now]
        expired = expired[:MAX_RECORDS_AN_APPEND]
        for key in expired:
            # Until the removal is read back.
            self._stored[key] = now + CRASH_REMOVAL_S
        if expired:
            self._publisher.publish([(key, None) for key in expired])

    def _publish_again(self, now: float) -> None:
        """Publishes what this gateway knows and the store does not have."""
        records: list[tuple[str, bytes | None]] = []
        for known in self._quarantine.known_crashes(now):
            key = f"{known.key}/{known.crash}"
            is_stored = key in self._stored
            if known.is_cleared and is_stored:
                records.append((key, None))
            elif not known.is_cleared and not is_stored:
                at = self._clock.wall() - (QUARANTINE_S - known.remaining_s)
                circumstances = known.circumstances
                wire = CrashWire(
                    "",
                    0,
                    at,
                    known.position,
                    circumstances.age_s,
                    circumstances.is_trial,
                )
                records.append((key, msgspec.json.encode(wire)))
        for start in range(0, len(records), MAX_RECORDS_AN_APPEND):
            self._publisher.publish(records[start : start + MAX_RECORDS_AN_APPEND])

    def _take_new(self, record: KeyedRecord) -> None:
        self._take_record(record, QUARANTINE_S)

    def _begin_snapshot(self, records: list[KeyedRecord]) -> None:
        # The removals of these keys were among the records that were lost.
        for key in self._stored.keys() - {record.key for record in records}:
            self._forget(key)

    def _take_stored(self, record: KeyedRecord) -> None:
        self._take_record(record, self._remaining_s(record))

    def _remaining_s(self, record: KeyedRecord) -> float:
        """Returns how long a record of unknown age still counts."""
        try:
            wire = decode_crash(record.value or b"")
        except UNREADABLE:
            return 0.0
        # The clocks of gateways differ: a crash in the future has just happened.
        return QUARANTINE_S - max(0.0, self._clock.wall() - wire.at)

    def _take_record(self, record: KeyedRecord, ttl_s: float) -> None:
        if record.value is None:
            self._forget(record.key)
            return
        key, _, crash = record.key.partition("/")
        now = self._now()
        try:
            wire = decode_crash(record.value)
        except UNREADABLE as exc:
            self._events.warn("crash_ignored", key=record.key, why=exc)
            return
        # A gateway whose clock is wrong must not remove what others still need.
        self._stored[record.key] = now + QUARANTINE_S
        if ttl_s <= 0:
            return
        is_new = self._quarantine.note_crash(key, crash, now, wire.position, ttl_s)
        self._quarantine.note_circumstances(key, crash, wire.circumstances, now)
        if is_new:
            self._fleet.note_crashed(wire.engine, wire.incarnation)
            self._log_crash(key, wire, "")

    def _forget(self, stored_key: str) -> None:
        """Clears a key of the crash whose record another gateway removed."""
        self._stored.pop(stored_key, None)
        key, _, crash = stored_key.partition("/")
        self._quarantine.forget_crash(key, crash, self._now())

    def _log_crash(self, key: str, crash: CrashWire, request_id: str) -> None:
        count = self.count_crashes(key)
        fields = {
            "id": request_id,
            "engine": crash.engine,
            "incarnation": crash.incarnation,
            "crashes": count,
        }
        if not is_part(key):
            self._events.info("crash_recorded", fingerprint=key, **fields)
        elif request_id or count > 1:
            # Left out at the other gateways: the first crash of each part that ran
            # beside the one that caused it.
            self._events.info("part_crash_recorded", part=key, **fields)

    def _log_causes(self) -> None:
        """Logs the parts that were quarantined or released since the last call."""
        causes = self._quarantine.causes(self._now())
        if causes == self._known_causes:
            return
        for key in sorted(causes - self._known_causes):
            count = self.count_crashes(key)
            self._events.warn("part_quarantined", part=key, crashes=count)
        for key in sorted(self._known_causes - causes):
            count = self.count_crashes(key)
            self._events.warn("part_released", part=key, crashes=count)
        self._known_causes = causes

    def _now(self) -> float:
        return float(self._clock.monotonic())
