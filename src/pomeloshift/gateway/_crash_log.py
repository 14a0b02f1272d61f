"""The crashes of engines under online requests, shared through the store."""

import hashlib
from typing import Any

import attrs
import msgspec

from ..attempts import CrashRecord, QuarantineState, SuspectConfig, SuspectTracker
from ..dispatch import Engine, SilentRun, SilentRuns
from ..errors import PomeloshiftError
from ..jobs import Ownership
from ..net._periodic_tasks import PeriodicTasks
from ..platform import KeyedRecord, StoreClient
from ._events import EventLog
from ._log_writer import LogWriter
from ._timing import (
    CRASH_POLL_S,
    CRASH_READ_GAP_S,
    CRASH_TICK_S,
    CRASHES_WAIT_S,
    MAX_UNWRITTEN_CRASHES,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    QUARANTINE_TRIAL_S,
)
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.crashes"
PARTITION = 0
CRASH_DIGEST_BYTES = 8
# Largest number of expired records that one append removes.
MAX_REMOVALS = 200


class _Crash(msgspec.Struct):
    engine: str
    incarnation: int
    # Time of the crash in Unix seconds.
    at: float


_DECODER = msgspec.json.Decoder(_Crash)


@attrs.define(eq=False)
class CrashLog:
    """Knows the online requests that crash engines.

    Each crash is a record of its own in the store, with a key from the request's
    fingerprint and the engine's incarnation: gateways that observe one crash write the
    same key. A complete response removes the records of its request. Crashes that this
    gateway observes count at once, also while the store is unavailable.
    """

    _store: StoreClient
    _writer: LogWriter
    _ownership: Ownership
    _events: EventLog
    _reactor: Any
    _clock: Any
    _tracker: SuspectTracker = attrs.field(init=False)
    _silent: SilentRuns = attrs.field(factory=SilentRuns, init=False)
    # When the stored records may be removed, by key; monotonic seconds.
    _stored: dict[str, float] = attrs.field(factory=dict, init=False)
    # When this gateway last tried a quarantined request, by fingerprint.
    _tried_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _unwritten: int = attrs.field(default=0, init=False)
    _started_at: float = attrs.field(default=0.0, init=False)
    _follower: TopicFollower = attrs.field(init=False)

    @_tracker.default
    def _new_tracker(self) -> SuspectTracker:
        return SuspectTracker(
            SuspectConfig(
                quarantine_crashes=QUARANTINE_CRASHES, quarantine_s=QUARANTINE_S
            )
        )

    @_follower.default
    def _new_follower(self) -> TopicFollower:
        return TopicFollower(
            TOPIC,
            PARTITION,
            self._store,
            self._reactor,
            self._clock,
            self._events,
            TopicHandlers(self._take_new, snapshot=self._take_snapshot),
            read_gap_s=CRASH_READ_GAP_S,
            poll_s=CRASH_POLL_S,
        )

    def start(self, tasks: PeriodicTasks) -> None:
        """Starts to follow the topic and to remove expired records."""
        self._started_at = self._now()
        self._follower.start()
        tasks.repeat(self._tick, CRASH_TICK_S)

    def stop(self) -> None:
        """Stops following and writing."""
        self._follower.stop()
        self._writer.stop()

    @property
    def is_ready(self) -> bool:
        """Whether the records were read, or could not be read for `CRASHES_WAIT_S`."""
        waited_s = self._now() - self._started_at
        return self._follower.is_synced or waited_s >= CRASHES_WAIT_S

    @property
    def has_unwritten(self) -> bool:
        """Whether records are queued for the store."""
        return self._writer.has_unwritten

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not be sent to an engine."""
        state = self._tracker.quarantine_state(fingerprint, self._now())
        return state is QuarantineState.QUARANTINED

    def take_trial(self, fingerprint: str) -> bool:
        """Returns whether a quarantined request may be sent once all the same.

        Engines that crash for another reason can quarantine a harmless request, which
        many callers may share. One gateway tries it again, `QUARANTINE_TRIAL_S` after
        the last crash or trial. Another crash ends the trials.
        """
        if self.count_crashes(fingerprint) > QUARANTINE_CRASHES:
            return False
        if not self._ownership.owns(fingerprint):
            return False
        now = self._now()
        crashed_at = now - (QUARANTINE_S - self.quarantined_for(fingerprint))
        last_at = max(crashed_at, self._tried_at.get(fingerprint, crashed_at))
        if now - last_at < QUARANTINE_TRIAL_S:
            return False
        self._tried_at[fingerprint] = now
        return True

    def quarantined_for(self, fingerprint: str) -> float:
        """Returns the seconds until a request's quarantine ends."""
        return self._tracker.quarantined_for(fingerprint, self._now())

    def count_crashes(self, fingerprint: str) -> int:
        """Returns the number of crashes during which a request was running."""
        return len(self._tracker.crashes(fingerprint, self._now()))

    def count_quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        return len(self._tracker.quarantined(self._now()))

    def note_crash(self, fingerprint: str, engine: Engine, request_id: str) -> None:
        """Records that an engine crashed while it had the request."""
        crash = _crash_name(engine)
        now = self._now()
        if crash in self._tracker.crashes(fingerprint, now):
            return
        self._tracker.crashed(fingerprint, crash, now)
        wire = _Crash(engine.record.id, engine.record.incarnation, self._clock.wall())
        self._log_crash(fingerprint, wire, request_id)
        self._publish([(f"{fingerprint}/{crash}", msgspec.json.encode(wire))])

    def note_given_up(self, fingerprint: str, engine: Engine, request_id: str) -> None:
        """Records that a run was given up before the end of its response."""
        self._silent.add(SilentRun(fingerprint, request_id, engine, self._now()))

    def note_answered(self, fingerprint: str) -> None:
        """Clears a request of its crashes: an engine has completed it."""
        crashes = self._tracker.crashes(fingerprint, self._now())
        if crashes:
            self._tracker.finished(fingerprint, self._now())
            self._publish([(f"{fingerprint}/{crash}", None) for crash in crashes])

    def _tick(self) -> None:
        now = self._now()
        for run in self._silent.take_crashed(now):
            self.note_crash(run.fingerprint, run.engine, run.request_id)
        self._tracker.expire(now)
        for fingerprint in [f for f in self._tried_at if not self.is_quarantined(f)]:
            del self._tried_at[fingerprint]
        if self._ownership.owns(TOPIC):
            self._remove_expired(now)

    def _remove_expired(self, now: float) -> None:
        expired = [key for key, at in self._stored.items() if at <= now][:MAX_REMOVALS]
        for key in expired:
            del self._stored[key]
        if expired:
            self._publish([(key, None) for key in expired])

    def _publish(self, records: list[tuple[str, bytes | None]]) -> None:
        if self._unwritten + len(records) > MAX_UNWRITTEN_CRASHES:
            self._note_not_published("too many records wait for the store")
            return
        self._unwritten += len(records)
        done = self._writer.append(records).done
        done.addErrback(self._note_append_failed)
        done.addBoth(self._note_written, len(records))

    def _note_append_failed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self._note_not_published(failure.value.message)

    def _note_written(self, _: Any, count: int) -> None:
        self._unwritten -= count

    def _note_not_published(self, why: str) -> None:
        self._events.info("crash_not_published", why=why)

    def _take_new(self, record: KeyedRecord) -> None:
        self._take_record(record, QUARANTINE_S)

    def _take_snapshot(self, records: list[KeyedRecord], end: int) -> None:
        # The removals of these keys were among the records that were lost.
        for key in self._stored.keys() - {record.key for record in records}:
            self._forget(key)
        for record in records:
            self._take_record(record, self._remaining_s(record))

    def _remaining_s(self, record: KeyedRecord) -> float:
        """Returns how long a record of unknown age still counts."""
        try:
            wire = _DECODER.decode(record.value or b"")
        except msgspec.DecodeError:
            return 0.0
        # The clocks of gateways differ: a crash in the future has just happened.
        return QUARANTINE_S - max(0.0, self._clock.wall() - wire.at)

    def _take_record(self, record: KeyedRecord, ttl_s: float) -> None:
        if record.value is None:
            self._forget(record.key)
            return
        fingerprint, _, crash = record.key.partition("/")
        now = self._now()
        try:
            wire = _DECODER.decode(record.value)
        except msgspec.DecodeError as exc:
            self._events.warn("crash_ignored", key=record.key, why=exc)
            return
        # A gateway whose clock is wrong must not remove what others still need.
        self._stored[record.key] = now + QUARANTINE_S
        if ttl_s <= 0 or crash in self._tracker.crashes(fingerprint, now):
            return
        learned = CrashRecord(fingerprint, frozenset({crash}), ttl_s=ttl_s)
        self._tracker.merge((learned,), now)
        if crash in self._tracker.crashes(fingerprint, now):
            self._log_crash(fingerprint, wire, "")

    def _forget(self, key: str) -> None:
        """Clears a request of the crash whose record another gateway removed."""
        self._stored.pop(key, None)
        fingerprint, _, crash = key.partition("/")
        cleared = frozenset({crash})
        record = CrashRecord(fingerprint, cleared, cleared)
        self._tracker.merge((record,), self._now())

    def _log_crash(self, fingerprint: str, crash: _Crash, request_id: str) -> None:
        self._events.info(
            "crash_recorded",
            id=request_id,
            fingerprint=fingerprint,
            engine=crash.engine,
            incarnation=crash.incarnation,
            crashes=self.count_crashes(fingerprint),
        )

    def _now(self) -> float:
        return float(self._clock.monotonic())


def _crash_name(engine: Engine) -> str:
    """Returns the name of an engine's crash, the same at all gateways."""
    name = f"{engine.record.incarnation}/{engine.record.id}".encode()
    return hashlib.blake2b(name, digest_size=CRASH_DIGEST_BYTES).hexdigest()
