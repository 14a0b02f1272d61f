"""Finds the requests that crash backend servers."""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from ._crash_record import CrashRecord, QuarantineState
from ._suspect_config import SuspectConfig


class SuspectTracker:
    """Tracks the requests that ran on crashed backend servers, for one entry.

    Every request that was running on a crashed server becomes a suspect. A suspect
    runs again only on a server without another suspect, and only one copy of it runs
    at a time. A second crash therefore identifies the request that causes it, and
    that request is quarantined.
    """

    def __init__(self, cfg: SuspectConfig | None = None) -> None:
        self._cfg = cfg or SuspectConfig()
        self._records: dict[str, tuple[CrashRecord, float]] = {}
        self._running: dict[str, Counter[str]] = {}
        self._changed: set[str] = set()
        self._watchers: dict[str, list[Callable[[], None]]] = {}

    def quarantine_state(self, fingerprint: str, now: float) -> QuarantineState:
        """Returns how a request may be run."""
        count = len(self.crashes(fingerprint, now))
        if count == 0:
            return QuarantineState.CLEAR
        if count >= self._cfg.quarantine_crashes:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def crashes(self, fingerprint: str, now: float) -> frozenset[str]:
        """Returns the crashes of a request, without the cleared ones."""
        known = self._records.get(fingerprint)
        if known is None or known[1] <= now:
            return frozenset()
        return known[0].crashes - known[0].cleared

    def quarantined_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds until the request's record expires, or 0 without one."""
        known = self._records.get(fingerprint)
        return max(0.0, known[1] - now) if known is not None else 0.0

    def started(self, fingerprint: str, server: str) -> None:
        """Records that a copy of the request runs on a backend server."""
        self._running.setdefault(fingerprint, Counter())[server] += 1

    def ended(self, fingerprint: str, server: str) -> None:
        """Records that a copy no longer runs on a backend server."""
        servers = self._running.get(fingerprint)
        if servers is None:
            return
        servers[server] -= 1
        if servers[server] <= 0:
            del servers[server]
        if not servers:
            del self._running[fingerprint]

    def finished(self, fingerprint: str, now: float) -> None:
        """Clears a request of its crashes, because it got a complete response."""
        known = self._records.get(fingerprint)
        if known is None:
            return
        record = attrs.evolve(known[0], cleared=known[0].crashes)
        self._store(record, known[1])

    def crashed(self, fingerprint: str, crash: str, now: float) -> None:
        """Records that the request was running on a backend server that crashed.

        ``crash`` names the crash and is the same for all requests that ran there.
        """
        record = CrashRecord(
            fingerprint, frozenset({crash}), ttl_s=self._cfg.quarantine_s
        )
        self.merge((record,), now)
        self._changed.add(fingerprint)

    def watch(self, fingerprint: str, callback: Callable[[], None]) -> None:
        """Calls ``callback`` whenever another crash of the request is recorded."""
        self._watchers.setdefault(fingerprint, []).append(callback)

    def unwatch(self, fingerprint: str, callback: Callable[[], None]) -> None:
        """Ends `watch`."""
        watchers = self._watchers.get(fingerprint, [])
        watchers.remove(callback)
        if not watchers:
            self._watchers.pop(fingerprint, None)

    def servers_running(self, fingerprint: str) -> frozenset[str]:
        """Returns the servers that run copies of the request now."""
        return frozenset(self._running.get(fingerprint, ()))

    def servers_with_suspects(self, now: float) -> frozenset[str]:
        """Returns the backend servers that run a suspect now."""
        return frozenset(
            server
            for fingerprint, servers in self._running.items()
            if self.quarantine_state(fingerprint, now) is not QuarantineState.CLEAR
            for server in servers
        )

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Merges the records of another entry."""
        for record in records:
            until = now + min(record.ttl_s, self._cfg.quarantine_s)
            known = self._records.get(record.fingerprint)
            before = known[0].count if known is not None else 0
            if known is not None and known[1] > now:
                merged = known[0].merge(record)
                until = max(until, known[1])
            else:
                merged = record
            self._store(merged, until)
            if merged.count > before:
                self._notify_watchers(record.fingerprint)

    def take_changes(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns the records that changed since the last call, for other entries."""
        changed, self._changed = self._changed, set()
        return tuple(r for r in self.crash_records(now) if r.fingerprint in changed)

    def crash_records(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns all records, for an entry that has just started."""
        return tuple(
            attrs.evolve(record, ttl_s=until - now)
            for record, until in self._records.values()
            if until > now
        )

    def quarantined(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns the records of the quarantined requests."""
        return tuple(
            attrs.evolve(record, ttl_s=until - now)
            for record, until in self._records.values()
            if until > now and record.count >= self._cfg.quarantine_crashes
        )

    def expire(self, now: float) -> list[str]:
        """Removes the records that have expired and returns their fingerprints."""
        expired = [k for k, (_, at) in self._records.items() if at <= now]
        for fingerprint in expired:
            del self._records[fingerprint]
            self._changed.discard(fingerprint)
        return expired

    def _notify_watchers(self, fingerprint: str) -> None:
        for callback in list(self._watchers.get(fingerprint, ())):
            callback()

    def _store(self, record: CrashRecord, until: float) -> None:
        fingerprint = record.fingerprint
        known = self._records.pop(fingerprint, None)
        if known is None or known[0].cleared != record.cleared:
            self._changed.add(fingerprint)
        self._records[fingerprint] = (record, until)
        if len(self._records) > self._cfg.max_suspects:
            oldest = next(iter(self._records))
            del self._records[oldest]
            self._changed.discard(oldest)
