"""Heartbeats between entries: configuration versions and crash suspects."""

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

ASK_TIMEOUT_S = 1.5


class PeerExchange:
    """Tells the other entries what this one knows, and takes what they know.

    An entry that is met for the first time is told everything; afterwards only
    changes are sent, and those that were not acknowledged again.
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
        self._asking: set[str] = set()

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
                unsent = self._unsent[peer.name] = _index(self._suspects.notices(now))
            unsent.update(_index(changes))
            if peer.name not in self._asking:
                spawn(self._ask(peer, False))

    async def order_drain(self, peer: Instance) -> None:
        """Orders another entry to drain; raises a control failure."""
        await self._send(peer, (), True)

    def observe(self, report: EntryReport) -> None:
        """Takes a heartbeat of another entry."""
        strikes = [
            CrashRecord(
                notice.fingerprint,
                frozenset(notice.crashes),
                frozenset(notice.cleared),
                notice.ttl_s,
            )
            for notice in report.suspects
        ]
        self._suspects.merge(strikes, self._clock.monotonic())
        if report.drain:
            self._drain()

    async def _ask(self, peer: Instance, drain: bool) -> None:
        self._asking.add(peer.name)
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
            self._asking.discard(peer.name)
        self._forget_sent(peer.name, sent)

    async def _send(
        self, peer: Instance, strikes: tuple[CrashRecord, ...], drain: bool
    ) -> None:
        notices = tuple(_notice(one) for one in strikes)
        report = EntryReport(self._name, self._config.version, notices, drain)
        answer = await self._control.ask(peer.control_address, report, ASK_TIMEOUT_S)
        self._fleet.observe_entry(peer.name, answer.config_version)
        self._config.observe_version(peer.name, answer.config_version)

    def _forget_sent(self, peer: str, sent: tuple[CrashRecord, ...]) -> None:
        unsent = self._unsent.get(peer, {})
        for strikes in sent:
            if unsent.get(strikes.fingerprint) is strikes:
                del unsent[strikes.fingerprint]


def _index(strikes: tuple[CrashRecord, ...]) -> dict[str, CrashRecord]:
    return {one.fingerprint: one for one in strikes}


def _notice(strikes: CrashRecord) -> SuspectNotice:
    return SuspectNotice(
        strikes.fingerprint,
        tuple(sorted(strikes.crashes)),
        tuple(sorted(strikes.cleared)),
        strikes.ttl_s,
    )
