"""Exchanges heartbeats with other gateways.

A heartbeat reports the requests that its sender has at each engine.
"""

import math
from collections.abc import Callable, Iterable, Set
from typing import Any

import attrs
import msgspec
from twisted.internet.protocol import DatagramProtocol

from ..dispatch import (
    PEER_VALID_S,
    Engine,
    Fleet,
    LimitReport,
    PeerLoads,
    PeerState,
    RateReport,
    RequestCounters,
    RequestCounts,
)
from ..platform import MAX_PORT, UNREADABLE, KeyedRecord, is_ip_address
from ._events import EventLog
from ._recent_changes import RecentChanges
from ._timing import (
    ALL_COUNTERS_S,
    ALL_LIMITS_S,
    COUNTERS_RESENT_S,
    LIMIT_RECENT_S,
    PEER_HEARTBEAT_S,
    PEER_LOST_HEARTBEAT_S,
    PEER_SEND_GAP_S,
    RATE_RECENT_S,
)


class PeerAddress(msgspec.Struct, array_like=True):
    """Where a gateway listens for heartbeats and for calls to relay."""

    name: str
    ip: str
    port: int
    zone: str
    relay_port: int


class _Heartbeat(msgspec.Struct, array_like=True):
    """The full state of a gateway.

    ``work`` holds the numbers of online requests and batch items at each engine.
    ``limits`` holds, for engines that name a limit or have ended one, the engine's
    incarnation, the limit, the seconds since it was named, and the sender's requests.
    ``rates`` holds the seconds since the sender started and, by workspace, what it
    has counted. Both are not complete: see `PeerExchange`.
    """

    name: str
    ip: str
    work: dict[str, tuple[int, int]]
    claims: list[int]
    is_leaving: bool
    can_store: bool
    is_relay: bool
    limits: dict[str, tuple[int, float | None, float, int]] = {}
    rates: tuple[float, dict[str, RequestCounters]] | None = None


_ADDRESS_DECODER = msgspec.msgpack.Decoder(PeerAddress)
_HEARTBEAT_DECODER = msgspec.msgpack.Decoder(_Heartbeat)


@attrs.define
class _Peer:
    address: PeerAddress
    sent_at: float = float("-inf")
    all_limits_sent_at: float = float("-inf")
    all_counters_sent_at: float = float("-inf")
    last_seen_at: float = float("-inf")
    is_leaving: bool = False


class PeerExchange(DatagramProtocol):
    """Sends this gateway's state when it changes, and at least twice a second.

    A datagram holds the full state, so the next one makes up for a lost one. Only the
    limits of engines and the counters of workspaces are left out if they have not
    changed for `LIMIT_RECENT_S` or `RATE_RECENT_S`. Every `ALL_LIMITS_S`, all limits
    are sent and the counters that changed within `COUNTERS_RESENT_S`. All counters are
    sent every `ALL_COUNTERS_S`, and to gateways that are not heard.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        fleet: Fleet,
        reactor: Any,
        clock: Any,
        events: EventLog,
    ) -> None:
        self.loads = PeerLoads()
        fleet.peers_of = self.loads.total
        self.on_change: Callable[[], None] = lambda: None
        self.on_limit_change: Callable[[Engine, str], None] = lambda engine, peer: None
        self.on_rates: Callable[[str, RateReport], None] = lambda peer, report: None
        self.own_state: Callable[[], PeerState] = lambda: PeerState({})
        self._name = name
        self._ip = ip
        self._zone = zone
        self._fleet = fleet
        self._reactor = reactor
        self._clock = clock
        self._events = events
        self._peers: dict[str, _Peer] = {}
        self._last_state = PeerState({})
        self._limits = RecentChanges[LimitReport](LIMIT_RECENT_S)
        self._counters = RecentChanges[RequestCounters](RATE_RECENT_S)
        self._port: Any = None

    def listen(self, port: int, relay_port: int) -> PeerAddress:
        """Listens for heartbeats and returns the address to publish."""
        self._port = self._reactor.listenUDP(port, self, interface=self._ip)
        return PeerAddress(
            self._name,
            self._ip,
            int(self._port.getHost().port),
            self._zone,
            relay_port,
        )

    def stop(self) -> None:
        """Stops listening."""
        if self._port is not None:
            self._port.stopListening()

    def take_record(self, record: KeyedRecord) -> None:
        """Applies the record of an address that a gateway published."""
        if record.value is None:
            self._peers.pop(record.key, None)
            return
        try:
            address = _ADDRESS_DECODER.decode(record.value)
        except UNREADABLE as exc:
            self._events.warn("peer_ignored", peer=record.key, why=exc)
            return
        if not _is_reachable(address):
            self._events.warn("peer_ignored", peer=record.key, why="no usable address")
            return
        # A record under this IP may be of the previous process on this instance.
        if address.ip != self._ip:
            self._peers[record.key] = _Peer(address)

    @property
    def published(self) -> Set[str]:
        """The IP addresses of the other gateways that published an address."""
        return self._peers.keys()

    def count_heard(self, within_s: float) -> tuple[int, int]:
        """Returns how many gateways were heard within a time, and how many exist.

        Both include this one. Those that were shutting down when they were last heard
        have ended.
        """
        since = self._clock.monotonic() - within_s
        heard = ended = 0
        for peer in self._peers.values():
            if peer.last_seen_at >= since:
                heard += 1
            elif peer.is_leaving:
                ended += 1
        return 1 + heard, 1 + len(self._peers) - ended

    @property
    def knows_others(self) -> bool:
        """Whether other gateways have published their addresses."""
        return bool(self._peers)

    @property
    def hears_unknown(self) -> bool:
        """Whether a gateway sends heartbeats whose address is not known here."""
        return any(ip not in self._peers for ip in self.loads.states)

    def has_ended(self, name: str) -> bool:
        """Returns whether another process has replaced the one with this name."""
        return name != self._name and all(
            peer.address.name != name for peer in self._peers.values()
        )

    def zone_of(self, ip: str) -> str:
        """Returns the availability zone of a gateway, empty if it is not published."""
        if ip == self._ip:
            return self._zone
        peer = self._peers.get(ip)
        return peer.address.zone if peer is not None else ""

    def relays(self) -> frozenset[str]:
        """Returns the addresses of the gateways that relay calls to the store."""
        return frozenset(
            f"{ip}:{self._peers[ip].address.relay_port}"
            for ip, state in self.loads.states.items()
            if state.is_relay and not state.is_leaving and ip in self._peers
        )

    def tick(self) -> None:
        """Sends due heartbeats and drops the state of unresponsive gateways."""
        now = self._clock.monotonic()
        expired = self.loads.expire(now)
        for name in expired:
            self._events.info("peer_silent", peer=name)
        if expired:
            self._apply(self._fleet.engines)
        state = self.own_state()
        has_changed = state != self._last_state
        self._last_state = state
        data = self._encode(self._recent(state, now), now)
        full: dict[bool, bytes] = {}
        for peer in self._peers.values():
            if now - peer.sent_at < self._send_gap_s(peer, has_changed, now):
                continue
            peer.sent_at = now
            if now - peer.all_limits_sent_at < ALL_LIMITS_S:
                self._send(data, peer.address)
                continue
            peer.all_limits_sent_at = now
            has_all = now - peer.all_counters_sent_at >= ALL_COUNTERS_S
            if has_all or now - peer.last_seen_at > PEER_VALID_S:
                has_all, peer.all_counters_sent_at = True, now
            if has_all not in full:
                within_s = math.inf if has_all else COUNTERS_RESENT_S
                full[has_all] = self._encode(self._reduce(state, within_s, now), now)
            self._send(full[has_all], peer.address)

    def _recent(self, state: PeerState, now: float) -> PeerState:
        """Returns the state without limits and counters that have not changed."""
        limits = self._limits.update(state.limits, now)
        if state.rates is not None:
            self._counters.update(state.rates.counters, now)
        return attrs.evolve(self._reduce(state, RATE_RECENT_S, now), limits=limits)

    def _reduce(self, state: PeerState, within_s: float, now: float) -> PeerState:
        """Returns the state with the counters that changed within a time."""
        if state.rates is None:
            return state
        counters = self._counters.recent(now, within_s)
        rates = attrs.evolve(state.rates, counters=counters) if counters else None
        return attrs.evolve(state, rates=rates)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Handles a heartbeat of another gateway."""
        try:
            heartbeat = _HEARTBEAT_DECODER.decode(datagram)
        except UNREADABLE as exc:
            self._events.warn("datagram_ignored", peer=addr[0], why=exc)
            return
        if heartbeat.ip == self._ip:
            return
        now = self._clock.monotonic()
        peer = self._peers.get(heartbeat.ip)
        if peer is not None:
            peer.last_seen_at = now
            peer.is_leaving = heartbeat.is_leaving
        counts = {
            engine: RequestCounts(*pair) for engine, pair in heartbeat.work.items()
        }
        state = PeerState(
            counts,
            frozenset(heartbeat.claims),
            heartbeat.is_leaving,
            heartbeat.can_store,
            heartbeat.is_relay,
        )
        changed = self.loads.update(heartbeat.ip, state, now)
        if changed:
            self._apply(changed)
            self.on_change()
        self._apply_limits(heartbeat, now)
        if heartbeat.rates is not None:
            age_s, counters = heartbeat.rates
            self.on_rates(heartbeat.name, RateReport(now - age_s, counters))

    def _apply_limits(self, heartbeat: _Heartbeat, now: float) -> None:
        for engine_id, (incarnation, rate, age_s, sent) in heartbeat.limits.items():
            engine = self._fleet.engines.get(engine_id)
            if engine is None:
                continue
            report = LimitReport(incarnation, rate, now - age_s, sent)
            if engine.note_peer_limit(heartbeat.name, report, now):
                self.on_limit_change(engine, heartbeat.name)

    def _apply(self, engine_ids: Iterable[str]) -> None:
        for engine_id in engine_ids:
            engine = self._fleet.engines.get(engine_id)
            if engine is not None:
                engine.peers = self.loads.total(engine_id)

    def _encode(self, state: PeerState, now: float) -> bytes:
        rates = state.rates
        heartbeat = _Heartbeat(
            self._name,
            self._ip,
            {engine: (w.online, w.batch) for engine, w in state.counts.items()},
            list(state.claims),
            state.is_leaving,
            state.can_store,
            state.is_relay,
            {
                engine: (one.incarnation, one.rate, now - one.named_at, one.sent)
                for engine, one in state.limits.items()
            },
            (now - rates.started_at, rates.counters) if rates is not None else None,
        )
        return msgspec.msgpack.encode(heartbeat)

    @staticmethod
    def _send_gap_s(peer: _Peer, has_changed: bool, now: float) -> float:
        if now - peer.last_seen_at > PEER_VALID_S:
            return PEER_LOST_HEARTBEAT_S
        return PEER_SEND_GAP_S if has_changed else PEER_HEARTBEAT_S

    def _send(self, data: bytes, address: PeerAddress) -> None:
        transport: Any = self.transport
        try:
            transport.write(data, (address.ip, address.port))
        except OSError as exc:
            self._events.info("datagram_not_sent", peer=address.name, why=exc)


def _is_reachable(address: PeerAddress) -> bool:
    ports = (address.port, address.relay_port)
    return is_ip_address(address.ip) and all(0 < port <= MAX_PORT for port in ports)
