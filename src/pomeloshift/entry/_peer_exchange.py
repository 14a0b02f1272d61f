"""Heartbeats between entries, with configuration versions and crash records."""

from collections.abc import Callable

from loguru import logger

from ..attempts import CrashRecord, SuspectTracker
from ..errors import PomeloshiftError
from ..model import Instance
from ..net import Clock
from ..net._control_client import ControlClient
from ..net._periodic_tasks import spawn
from ..wire import EntryReport, SuspectNotice
from ._fleet_observer import FleetObserver
from .config import ConfigService

HEARTBEAT_TIMEOUT_S = 1.5


class PeerExchange:
    """Exchanges the configuration version and crash records with other entries.

    The first heartbeat to an entry contains all crash records. A later heartbeat
    contains the records that have changed since the previous heartbeat, and those that
    the other entry has not acknowledged yet.
    """

    def __init__(
        self,
        name: str,
        fleet: FleetObserver,
        config: ConfigService,
        suspects: SuspectTracker,
        control: ControlClient,
        clock: Clock,
        drain: Callable[[], None],
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._config = config
        self._suspects = suspects
        self._control = control
        self._clock = clock
        self._drain = drain
        self._unsent: dict[str, dict[str, CrashRecord]] = {}
        self._in_flight: set[str] = set()

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every other live entry."""
        now = self._clock.monotonic()
        self._suspects.expire(now)
        changes = self._suspects.take_changes(now)
        peers = [e for e in self._fleet.entries() if e.name != self._name]
        known = {peer.name for peer in peers}
        self._unsent = {k: v for k, v in self._unsent.items() if k in known}
        for peer in peers:
            unsent = self._unsent.get(peer.name)
            if unsent is None:
                unsent = self._unsent[peer.name] = _index(
                    self._suspects.crash_records(now)
                )
            unsent.update(_index(changes))
            if peer.name not in self._in_flight:
                spawn(self._send_heartbeat(peer, False))

    async def request_drain(self, peer: Instance) -> None:
        """Requests another entry to drain.

        Raises the errors of `ControlClient.request`.
        """
        await self._send(peer, (), True)

    def observe(self, report: EntryReport) -> None:
        """Merges the crash records of another entry's heartbeat.

        Starts the drain of this entry if the heartbeat requests it.
        """
        records = [
            CrashRecord(
                notice.fingerprint,
                frozenset(notice.crashes),
                frozenset(notice.cleared),
                notice.ttl_s,
            )
            for notice in report.suspects
        ]
        self._suspects.merge(records, self._clock.monotonic())
        if report.drain:
            self._drain()

    async def _send_heartbeat(self, peer: Instance, drain: bool) -> None:
        self._in_flight.add(peer.name)
        sent = tuple(self._unsent[peer.name].values())
        try:
            await self._send(peer, sent, drain)
        except PomeloshiftError as exc:
            logger.warning(
                "event=peer_heartbeat_failed entry={} code={}",
                peer.name,
                exc.code.value,
            )
            return
        finally:
            self._in_flight.discard(peer.name)
        self._remove_acknowledged(peer.name, sent)

    async def _send(
        self, peer: Instance, records: tuple[CrashRecord, ...], drain: bool
    ) -> None:
        notices = tuple(_notice(record) for record in records)
        report = EntryReport(self._name, self._config.version, notices, drain)
        reply = await self._control.request(
            peer.control_address, report, HEARTBEAT_TIMEOUT_S
        )
        self._fleet.observe_entry(peer.name, reply.config_version)
        self._config.observe_version(peer.name, reply.config_version)

    def _remove_acknowledged(self, peer: str, sent: tuple[CrashRecord, ...]) -> None:
        unsent = self._unsent.get(peer, {})
        for record in sent:
            if unsent.get(record.fingerprint) is record:
                del unsent[record.fingerprint]


def _index(records: tuple[CrashRecord, ...]) -> dict[str, CrashRecord]:
    return {record.fingerprint: record for record in records}


def _notice(record: CrashRecord) -> SuspectNotice:
    return SuspectNotice(
        record.fingerprint,
        tuple(sorted(record.crashes)),
        tuple(sorted(record.cleared)),
        record.ttl_s,
    )
