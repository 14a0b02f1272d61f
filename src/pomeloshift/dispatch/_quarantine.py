"""Decides which requests are not sent, because they crash engines."""

import math
from collections.abc import Callable

import attrs
from attrs import validators as v

from ..attempts import CrashRecord, QuarantineState, SuspectConfig, SuspectTracker
from ._crash_causes import SuspectPart, find_causes
from ._crash_keys import CrashKeys, is_part


@attrs.frozen
class QuarantineConfig:
    """Limits of a quarantine; those that end in ``_s`` are seconds.

    A request is quarantined under ``crashes`` crashes, until ``quarantine_s`` after the
    last of them. The same holds for a prompt part; a proven one, on which an engine has
    completed a response in the last ``quarantine_s``, needs ``proven_crashes``.

    A request that may be harmless is tried ``trial_s`` after the last crash or trial,
    unless it has crashed more than ``crashes`` engines. So is one request of a
    quarantined part, unless the part has more than ``max_trial_crashes``; a part that
    was proven is tried after ``proven_trial_s`` up to ``proven_crashes`` crashes.
    ``max_parts`` bounds the parts with crashes that are kept, and the proven ones.
    """

    crashes: int = attrs.field(default=3, validator=v.ge(1))
    proven_crashes: int = attrs.field(default=5, validator=v.ge(1))
    quarantine_s: float = attrs.field(default=600.0, validator=v.gt(0))
    trial_s: float = attrs.field(default=30.0, validator=v.gt(0))
    proven_trial_s: float = attrs.field(default=2.0, validator=v.gt(0))
    max_trial_crashes: int = attrs.field(default=6, validator=v.ge(1))
    max_parts: int = attrs.field(default=20_000, validator=v.ge(1))


@attrs.frozen
class KnownCrash:
    """A crash under a request or part.

    It counts for ``remaining_s`` seconds, unless it is cleared. ``position`` is that of
    a part in the prompt.
    """

    key: str
    crash: str
    is_cleared: bool
    remaining_s: float
    position: int = 0


@attrs.define
class Quarantine:
    """Tracks the crashes of engines under requests and under parts of their prompts.

    Designed for a request, or requests that share a part, that crash each engine within
    a fraction of a second and keep arriving at any entry, beside harmless requests that
    share other parts with them. A complete response clears its request and its parts
    of the crashes known until then.

        quarantine.note_crash("part-5c1e", "crash 1", now=3.0)
        quarantine.blocking(CrashKeys(parts=("5c1e",)), now=3.0)  # ()
    """

    cfg: QuarantineConfig = attrs.field(factory=QuarantineConfig)
    _requests: SuspectTracker = attrs.field(init=False)
    _parts: SuspectTracker = attrs.field(init=False)
    _positions: dict[str, int] = attrs.field(factory=dict, init=False)
    # When a response with the part was last completed, the oldest first.
    _proven_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _tried_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # None until it is computed again after a change.
    _causes: frozenset[str] | None = attrs.field(default=None, init=False)

    @_requests.default
    def _new_requests(self) -> SuspectTracker:
        cfg = self.cfg
        return SuspectTracker(
            SuspectConfig(quarantine_crashes=cfg.crashes, quarantine_s=cfg.quarantine_s)
        )

    @_parts.default
    def _new_parts(self) -> SuspectTracker:
        cfg = self.cfg
        return SuspectTracker(
            SuspectConfig(cfg.crashes, cfg.quarantine_s, max_suspects=cfg.max_parts)
        )

    # Observations

    def note_crash(
        self,
        key: str,
        crash: str,
        now: float,
        position: int = 0,
        ttl_s: float = math.inf,
    ) -> bool:
        """Records a crash under a request or part; returns whether it is a new one.

        ``crash`` names the crash, the same at all entries. ``position`` is that of a
        part in the prompt. The record counts for ``ttl_s`` seconds, at most
        ``quarantine_s``.
        """
        if crash in self.crashes(key, now):
            return False
        ttl_s = min(ttl_s, self.cfg.quarantine_s)
        record = CrashRecord(key, frozenset({crash}), ttl_s=ttl_s)
        self._tracker(key).merge((record,), now)
        self._causes = None
        if is_part(key):
            self._note_position(key, position)
        return crash in self.crashes(key, now)

    def _note_position(self, key: str, position: int) -> None:
        # In the order of the last crashes, in which the tracker evicts parts as well.
        self._positions[key] = max(position, self._positions.pop(key, 0))
        if len(self._positions) > self.cfg.max_parts:
            oldest = next(iter(self._positions))
            del self._positions[oldest]
            self._tried_at.pop(oldest, None)

    def forget_crash(self, key: str, crash: str, now: float) -> None:
        """Clears a request or part of a crash whose record another entry removed."""
        cleared = frozenset({crash})
        self._tracker(key).merge((CrashRecord(key, cleared, cleared),), now)
        self._causes = None

    def note_answered(self, keys: CrashKeys, now: float) -> list[tuple[str, str]]:
        """Clears a request and its parts: an engine has completed it.

        Returns the cleared crashes as pairs of key and crash.
        """
        for part in keys.part_keys:
            self._proven_at.pop(part, None)
            self._proven_at[part] = now
        while len(self._proven_at) > self.cfg.max_parts:
            del self._proven_at[next(iter(self._proven_at))]
        cleared = []
        for key in keys.all:
            crashes = self.crashes(key, now)
            if crashes:
                cleared += [(key, crash) for crash in crashes]
                self._tracker(key).finished(key, now)
        if cleared:
            self._causes = None
        return cleared

    def expire(self, now: float) -> None:
        """Removes what has expired."""
        expired = self._requests.expire(now) + self._parts.expire(now)
        if expired:
            self._causes = None
        for key in expired:
            self._positions.pop(key, None)
            self._tried_at.pop(key, None)

    def known_crashes(self, now: float) -> list[KnownCrash]:
        """Returns all crashes, with the cleared ones."""
        records = [
            *self._requests.crash_records(now),
            *self._parts.crash_records(now),
        ]
        return [
            KnownCrash(
                record.fingerprint,
                crash,
                crash in record.cleared,
                record.ttl_s,
                self._positions.get(record.fingerprint, 0),
            )
            for record in records
            for crash in record.crashes | record.cleared
        ]

    # Decisions

    def crashes(self, key: str, now: float) -> frozenset[str]:
        """Returns the crashes of a request or part, without the cleared ones."""
        return self._tracker(key).crashes(key, now)

    def blocking(self, keys: CrashKeys, now: float) -> tuple[str, ...]:
        """Returns the keys because of which a request must not be sent."""
        fingerprint = keys.fingerprint
        state = self._requests.quarantine_state(fingerprint, now)
        causes = self.causes(now)
        parts = [key for key in keys.part_keys if key in causes] if causes else []
        if state is QuarantineState.QUARANTINED:
            return (fingerprint, *parts)
        return tuple(parts)

    def causes(self, now: float) -> frozenset[str]:
        """Returns the keys of the parts that crash engines."""
        if self._causes is None:
            suspects = [
                SuspectPart(
                    record.fingerprint,
                    record.crashes - record.cleared,
                    self._positions.get(record.fingerprint, 0),
                    self._min_crashes(record.fingerprint, now),
                )
                for record in self._parts.quarantined(now)
            ]
            self._causes = find_causes(suspects, self._request_crashes(now, suspects))
        return self._causes

    def may_try(self, keys: CrashKeys, now: float, owns: Callable[[str], bool]) -> bool:
        """Returns whether a quarantined request may be sent once all the same.

        Engines that crash for another reason can quarantine a harmless request or part,
        which many callers may share. The entry that owns its keys tries it again.
        """
        blocking = self.blocking(keys, now)
        return all(owns(key) and now >= self._trial_at(key, now) for key in blocking)

    def take_trial(
        self, keys: CrashKeys, now: float, owns: Callable[[str], bool]
    ) -> bool:
        """Returns `may_try` and, if that holds, counts the request as the trial."""
        if not self.may_try(keys, now, owns):
            return False
        for key in self.blocking(keys, now):
            self._tried_at[key] = now
        return True

    def blocked_for(self, keys: CrashKeys, now: float) -> float:
        """Returns the seconds until a quarantined request may be served again."""
        return max(
            (self._blocked_for(key, now) for key in self.blocking(keys, now)),
            default=0.0,
        )

    def count_requests(self, now: float) -> int:
        """Returns the number of quarantined requests."""
        return len(self._requests.quarantined(now))

    def _request_crashes(
        self, now: float, suspects: list[SuspectPart]
    ) -> list[frozenset[str]]:
        if not suspects:
            return []
        records = self._requests.quarantined(now)
        return [record.crashes - record.cleared for record in records]

    def _min_crashes(self, key: str, now: float) -> int:
        return (
            self.cfg.proven_crashes if self._is_proven(key, now) else self.cfg.crashes
        )

    def _is_proven(self, key: str, now: float) -> bool:
        proven_at = self._proven_at.get(key, -math.inf)
        return now - proven_at < self.cfg.quarantine_s

    def _trial_at(self, key: str, now: float) -> float:
        """Returns when the key may be tried, infinity if never."""
        cfg = self.cfg
        count = len(self.crashes(key, now))
        if count > (cfg.max_trial_crashes if is_part(key) else cfg.crashes):
            return math.inf
        is_quick = self._is_proven(key, now) and count <= cfg.proven_crashes
        delay_s = cfg.proven_trial_s if is_quick else cfg.trial_s
        crashed_at = now - (cfg.quarantine_s - self._remaining_s(key, now))
        return max(crashed_at, self._tried_at.get(key, crashed_at)) + delay_s

    def _blocked_for(self, key: str, now: float) -> float:
        remaining_s = self._remaining_s(key, now)
        if not is_part(key):
            return remaining_s
        return min(
            remaining_s, max(self.cfg.proven_trial_s, self._trial_at(key, now) - now)
        )

    def _remaining_s(self, key: str, now: float) -> float:
        return self._tracker(key).quarantined_for(key, now)

    def _tracker(self, key: str) -> SuspectTracker:
        return self._parts if is_part(key) else self._requests
