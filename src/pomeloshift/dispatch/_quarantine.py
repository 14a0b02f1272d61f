"""Decides which requests are not sent, because they crash engines."""

import math
from collections import Counter
from collections.abc import Callable

import attrs
from attrs import validators as v

from ..attempts import CrashRecord, QuarantineState, SuspectConfig, SuspectTracker
from ._crash_causes import SuspectPart, find_causes
from ._crash_circumstances import CrashCircumstances
from ._crash_keys import CrashKeys, is_part

# Returns the seconds by which an entry tries a key later than the first one.
TrialDelay = Callable[[str], float]


@attrs.frozen
class QuarantineConfig:
    """Limits of a quarantine; those that end in ``_s`` are seconds.

    A request is quarantined under ``crashes`` crashes, until ``quarantine_s`` after the
    last of them. The same holds for a prompt part; a proven one, on which an engine has
    completed a response in the last ``quarantine_s``, needs ``proven_crashes``.

    A request that may be harmless is tried ``trial_s`` after the last crash or trial,
    unless it has crashed more than ``crashes`` engines. One request of a quarantined
    part is tried after ``part_trial_s``, which doubles with each trial that crashed its
    engine, until ``max_failed_trials`` have. ``max_parts`` bounds the parts with
    crashes that are kept, and the proven ones.

    A run with a part clears it of the crashes of runs that had sent events for
    ``outlive_s`` less when their engines crashed.
    """

    crashes: int = attrs.field(default=3, validator=v.ge(1))
    proven_crashes: int = attrs.field(default=5, validator=v.ge(1))
    quarantine_s: float = attrs.field(default=600.0, validator=v.gt(0))
    trial_s: float = attrs.field(default=30.0, validator=v.gt(0))
    part_trial_s: float = attrs.field(default=2.0, validator=v.gt(0))
    max_failed_trials: int = attrs.field(default=3, validator=v.ge(1))
    outlive_s: float = attrs.field(default=0.25, validator=v.gt(0))
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
    circumstances: CrashCircumstances = attrs.field(factory=CrashCircumstances)


@attrs.define
class Quarantine:
    """Tracks the crashes of engines under requests and under parts of their prompts.

    Designed for a request, or requests that share a part, that crash each engine within
    a fraction of a second and keep arriving at any entry, beside harmless requests that
    share other parts with them, and for storms of crashes of another cause. A complete
    response clears its request and its parts of the crashes known until then. A part
    that crashes engines does so soon after a run begins, so a run that goes on for
    longer clears its parts as well.

        quarantine.note_crash("part-5c1e", "crash 1", now=3.0)
        quarantine.blocking(CrashKeys(parts=("5c1e",)), now=3.0)  # ()
    """

    cfg: QuarantineConfig = attrs.field(factory=QuarantineConfig)
    _requests: SuspectTracker = attrs.field(init=False)
    _parts: SuspectTracker = attrs.field(init=False)
    _positions: dict[str, int] = attrs.field(factory=dict, init=False)
    # When a response with the part was last completed, the oldest first.
    _proven_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # When this entry last tried a key, and how many of its trials have shown nothing
    # good since the key was last cleared of a crash.
    _tried_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _trials: Counter[str] = attrs.field(factory=Counter, init=False)
    # By part and crash.
    _circumstances: dict[str, dict[str, CrashCircumstances]] = attrs.field(
        factory=dict, init=False
    )
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
            self._forget_part(next(iter(self._positions)))

    def _forget_part(self, key: str) -> None:
        self._positions.pop(key, None)
        self._tried_at.pop(key, None)
        self._trials.pop(key, None)
        self._circumstances.pop(key, None)

    def note_circumstances(
        self, key: str, crash: str, circumstances: CrashCircumstances, now: float
    ) -> bool:
        """Adds to what is known of a part's crash; returns whether that is new.

        Several runs with the part may have been on the engine. The one that had sent
        events for the longest may have been the cause.
        """
        if not is_part(key) or crash not in self.crashes(key, now):
            return False
        known = self._circumstances.setdefault(key, {})
        merged = known.get(crash, CrashCircumstances()).merge(circumstances)
        if known.get(crash) == merged:
            return False
        known[crash] = merged
        self._causes = None
        return True

    def note_outlived(
        self, keys: CrashKeys, age_s: float, crash: str, now: float
    ) -> list[tuple[str, str]]:
        """Clears the parts of a run that has sent events for ``age_s`` and goes on.

        A part of it that crashes engines would have crashed this one when the run was
        as old as those that crashed. ``crash`` is the name that a crash of the run's
        own engine has. Returns the cleared crashes as pairs of key and crash.
        """
        oldest_s = age_s - self.cfg.outlive_s
        if oldest_s < 0:
            return []
        cleared = []
        for key in keys.part_keys:
            self._note_proven(key, now)
            known = self._circumstances.get(key, {})
            outlived = frozenset(
                one
                for one in self.crashes(key, now) - {crash}
                if known.get(one, CrashCircumstances()).age_s <= oldest_s
            )
            if outlived:
                cleared += [(key, one) for one in outlived]
                self._clear(key, outlived, now)
        return cleared

    def _note_proven(self, key: str, now: float) -> None:
        self._proven_at.pop(key, None)
        self._proven_at[key] = now
        if len(self._proven_at) > self.cfg.max_parts:
            del self._proven_at[next(iter(self._proven_at))]

    def _clear(self, key: str, crashes: frozenset[str], now: float) -> None:
        self._tracker(key).merge((CrashRecord(key, crashes, crashes),), now)
        known = self._circumstances.get(key, {})
        for crash in crashes & known.keys():
            del known[crash]
        self._trials.pop(key, None)
        self._causes = None

    def forget_crash(self, key: str, crash: str, now: float) -> None:
        """Clears a request or part of a crash whose record another entry removed."""
        self._clear(key, frozenset({crash}), now)

    def note_answered(self, keys: CrashKeys, now: float) -> list[tuple[str, str]]:
        """Clears a request and its parts: an engine has completed it.

        Returns the cleared crashes as pairs of key and crash.
        """
        for part in keys.part_keys:
            self._note_proven(part, now)
        cleared = []
        for key in keys.all:
            crashes = self.crashes(key, now)
            if crashes:
                cleared += [(key, crash) for crash in crashes]
                self._clear(key, crashes, now)
        return cleared

    def expire(self, now: float) -> None:
        """Removes what has expired."""
        expired = self._requests.expire(now) + self._parts.expire(now)
        if expired:
            self._causes = None
        for key in expired:
            self._forget_part(key)

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
                self._circumstances.get(record.fingerprint, {}).get(
                    crash, CrashCircumstances()
                ),
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
                    self._of_oldest_runs(
                        record.fingerprint, record.crashes - record.cleared
                    ),
                    self._positions.get(record.fingerprint, 0),
                    self._min_crashes(record.fingerprint, now),
                )
                for record in self._parts.quarantined(now)
            ]
            self._causes = find_causes(suspects, self._request_crashes(now, suspects))
        return self._causes

    def may_try(self, keys: CrashKeys, now: float, delay_s: TrialDelay) -> bool:
        """Returns whether a quarantined request may be sent once all the same.

        Engines that crash for another reason can quarantine a harmless request or part,
        which many callers may share. ``delay_s`` returns how much later than the first
        entry this one may try a key; of a request, only the first one tries.
        """
        blocking = self.blocking(keys, now)
        return all(self._is_due(key, now, delay_s(key)) for key in blocking)

    def _is_due(self, key: str, now: float, delay_s: float) -> bool:
        if not is_part(key) and delay_s > 0:
            return False
        return now >= self._trial_at(key, now) + delay_s

    def take_trial(self, keys: CrashKeys, now: float, delay_s: TrialDelay) -> bool:
        """Returns `may_try` and, if that holds, counts the request as the trial."""
        if not self.may_try(keys, now, delay_s):
            return False
        for key in self.blocking(keys, now):
            self._tried_at[key] = now
            self._trials[key] += 1
        return True

    def return_trial(self, keys: CrashKeys) -> None:
        """Lets another request take the place of a trial that has shown nothing."""
        for key in keys.all:
            if self._tried_at.pop(key, None) is not None:
                self._trials[key] = max(0, self._trials[key] - 1)

    def blocked_for(self, keys: CrashKeys, now: float) -> float:
        """Returns the seconds until a quarantined request may be served again."""
        return max(
            (self._blocked_for(key, now) for key in self.blocking(keys, now)),
            default=0.0,
        )

    def count_requests(self, now: float) -> int:
        """Returns the number of quarantined requests."""
        return len(self._requests.quarantined(now))

    def _of_oldest_runs(self, key: str, crashes: frozenset[str]) -> frozenset[str]:
        """Returns the crashes that a part can have caused.

        A run that was older when its engine crashed had outlived the others.
        """
        known = self._circumstances.get(key, {})
        ages = {one: known[one].age_s if one in known else 0.0 for one in crashes}
        youngest_s = max(ages.values(), default=0.0) - self.cfg.outlive_s
        return frozenset(one for one, age_s in ages.items() if age_s > youngest_s)

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
        crashes = self.crashes(key, now)
        if is_part(key):
            failed = self._count_failed_trials(key, crashes)
            is_over = failed >= cfg.max_failed_trials
            delay_s = cfg.part_trial_s * 2**failed
        else:
            is_over = len(crashes) > cfg.crashes
            delay_s = cfg.trial_s
        if is_over:
            return math.inf
        crashed_at = now - (cfg.quarantine_s - self._remaining_s(key, now))
        return max(crashed_at, self._tried_at.get(key, crashed_at)) + delay_s

    def _count_failed_trials(self, key: str, crashes: frozenset[str]) -> int:
        known = self._circumstances.get(key, {})
        failed = sum(known[crash].is_trial for crash in crashes & known.keys())
        return max(failed, self._trials[key])

    def _blocked_for(self, key: str, now: float) -> float:
        remaining_s = self._remaining_s(key, now)
        if not is_part(key):
            return remaining_s
        return min(
            remaining_s, max(self.cfg.part_trial_s, self._trial_at(key, now) - now)
        )

    def _remaining_s(self, key: str, now: float) -> float:
        return self._tracker(key).quarantined_for(key, now)

    def _tracker(self, key: str) -> SuspectTracker:
        return self._parts if is_part(key) else self._requests
