"""Finds the requests that crash backend servers."""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from ._crash_record import CrashRecord, QuarantineState
from ._suspect_config import SuspectConfig


class SuspectTracker:
    """What an entry knows of requests that ran on crashed backend servers.

    All that ran on a crashed server is suspect. A suspect runs again only where no
    other suspect runs, and a copy of it nowhere else at the same time; so a second
    crash shows which request it was, and that one is quarantined.
    """

    def __init__(self, cfg: SuspectConfig | None = None) -> None:
        self._cfg = cfg or SuspectConfig()
        self._records: dict[str, tuple[CrashRecord, float]] = {}
        self._running: dict[str, Counter[str]] = {}
        self._changed: set[str] = set()
        self._watchers: dict[str, list[Callable[[], None]]] = {}

    def quarantine_state(self, fingerprint: str, now: float) -> QuarantineState:
        """Tells how a request may be run."""
        known = self._records.get(fingerprint)
        if known is None or known[1] <= now or not known[0].count:
            return QuarantineState.CLEAR
        if known[0].count >= self._cfg.quarantine_crashes:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def quarantined_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds for which a quarantine goes on."""
        known = self._records.get(fingerprint)
        return max(0.0, known[1] - now) if known is not None else 0.0

    def started(self, fingerprint: str, server: str) -> None:
        """Notes that a copy of the request runs at a backend server."""
        self._running.setdefault(fingerprint, Counter())[server] += 1

    def ended(self, fingerprint: str, server: str) -> None:
        """Notes that a copy no longer runs there, for whatever reason."""
        servers = self._running.get(fingerprint)
        if servers is None:
            return
        servers[server] -= 1
        if servers[server] <= 0:
            del servers[server]
        if not servers:
            del self._running[fingerprint]

    def finished(self, fingerprint: str, now: float) -> None:
        """Clears a request that was answered."""
        known = self._records.get(fingerprint)
        if known is None:
            return
        record = attrs.evolve(known[0], cleared=known[0].crashes)
        self._keep(record, known[1])

    def crashed(self, fingerprint: str, crash: str, now: float) -> None:
        """Notes that the request ran on a backend server as it crashed.

        ``crash`` names the crash, alike for all requests that ran there.
        """
        record = CrashRecord(
            fingerprint, frozenset({crash}), ttl_s=self._cfg.quarantine_s
        )
        self.merge((record,), now)
        self._changed.add(fingerprint)

    def watch(self, fingerprint: str, call: Callable[[], None]) -> None:
        """Calls ``call`` whenever another crash of the request becomes known."""
        self._watchers.setdefault(fingerprint, []).append(call)

    def unwatch(self, fingerprint: str, call: Callable[[], None]) -> None:
        """Ends `watch`."""
        watchers = self._watchers.get(fingerprint, [])
        watchers.remove(call)
        if not watchers:
            self._watchers.pop(fingerprint, None)

    def servers_running(self, fingerprint: str) -> frozenset[str]:
        """Returns where copies of the request run now."""
        return frozenset(self._running.get(fingerprint, ()))

    def servers_with_suspects(self, now: float) -> frozenset[str]:
        """Returns the backend servers that run a suspect now."""
        return frozenset(
            server
            for fingerprint, servers in self._running.items()
            if self.quarantine_state(fingerprint, now) is not QuarantineState.CLEAR
            for server in servers
        )

    def merge(self, notices: Iterable[CrashRecord], now: float) -> None:
        """Takes what another entry knows."""
        for notice in notices:
            until = now + min(notice.ttl_s, self._cfg.quarantine_s)
            known = self._records.get(notice.fingerprint)
            before = known[0].count if known is not None else 0
            if known is not None and known[1] > now:
                merged = known[0].merge(notice)
                until = max(until, known[1])
            else:
                merged = notice
            self._keep(merged, until)
            if merged.count > before:
                self._tell(notice.fingerprint)

    def take_changes(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns what has changed here since the last call, for other entries."""
        changed, self._changed = self._changed, set()
        return tuple(s for s in self.notices(now) if s.fingerprint in changed)

    def notices(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns all that is known, for an entry that has just started."""
        return tuple(
            attrs.evolve(record, ttl_s=until - now)
            for record, until in self._records.values()
            if until > now
        )

    def quarantined(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns what is known of the requests that are quarantined."""
        return tuple(
            record
            for record in self.notices(now)
            if record.count >= self._cfg.quarantine_crashes
        )

    def expire(self, now: float) -> None:
        """Forgets what no longer holds."""
        for fingerprint in [k for k, (_, at) in self._records.items() if at <= now]:
            del self._records[fingerprint]

    def _tell(self, fingerprint: str) -> None:
        for call in list(self._watchers.get(fingerprint, ())):
            call()

    def _keep(self, record: CrashRecord, until: float) -> None:
        fingerprint = record.fingerprint
        known = self._records.pop(fingerprint, None)
        if known is None or known[0].cleared != record.cleared:
            self._changed.add(fingerprint)
        self._records[fingerprint] = (record, until)
        if len(self._records) > self._cfg.max_suspects:
            oldest = next(iter(self._records))
            del self._records[oldest]
