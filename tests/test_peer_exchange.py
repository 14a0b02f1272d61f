"""Heartbeats between gateways that hear each other in one direction only."""

import attrs
import msgspec
import pytest
from twisted.internet.task import Clock

from _virtual import VirtualClock
from pomeloshift.dispatch import Fleet, PeerState
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._peer_exchange import PeerAddress, PeerExchange
from pomeloshift.gateway._timing import PEER_TICK_S
from pomeloshift.platform import KeyedRecord

CLAIM = 7


@attrs.define
class Network:
    """Delivers datagrams to the gateways that ``reachable`` names."""

    exchanges: dict = attrs.field(factory=dict)
    reachable: set = attrs.field(factory=set)

    def write(self, data, target):
        if target[0] in self.reachable:
            self.exchanges[target[0]].datagramReceived(data, target)


@pytest.fixture
def reactor():
    return Clock()


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def exchange(reactor, network):
    """Makes the exchange of a gateway; it knows the addresses of ``peers``."""
    clock = VirtualClock(reactor)
    events = EventLog(clock, GatewayMetrics("n"))

    def exchange(ip, peers):
        made = PeerExchange(f"n{ip}", ip, "a", Fleet(), reactor, clock, events)
        made.transport = network
        made.own_state = lambda: PeerState({}, frozenset({CLAIM}))
        network.exchanges[ip] = made
        for peer in peers:
            address = msgspec.msgpack.encode(PeerAddress(f"n{peer}", peer, 1, "a", 2))
            made.take_record(KeyedRecord(0, peer, address))
        return made

    return exchange


def test_gateway_that_hears_nothing_keeps_its_claims_known_to_its_peers(
    exchange, network, reactor
):
    unhearing = exchange("10.0.0.1", ["10.0.0.2"])
    hearing = exchange("10.0.0.2", ["10.0.0.1"])
    network.reachable = {"10.0.0.2"}
    known = []
    for _ in range(round(10.0 / PEER_TICK_S)):
        unhearing.tick()
        hearing.tick()
        known.append(hearing.loads.is_claimed(CLAIM))
        reactor.advance(PEER_TICK_S)
    assert all(known)


def test_heartbeat_of_a_gateway_without_a_known_address_shows_that_one_is_missing(
    exchange, network
):
    sender = exchange("10.0.0.1", ["10.0.0.2"])
    receiver = exchange("10.0.0.2", [])
    assert not receiver.hears_unknown
    network.reachable = {"10.0.0.2"}
    sender.tick()
    assert receiver.hears_unknown
