"""Heartbeats between gateways that hear each other in one direction only."""

import attrs
import msgspec
import pytest
from twisted.internet.task import Clock

from _virtual import VirtualClock
from pomeloshift.dispatch import (
    EngineRecord,
    Fleet,
    LimitReport,
    PeerState,
    RateReport,
    RequestCounters,
)
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._peer_exchange import PeerAddress, PeerExchange
from pomeloshift.gateway._timing import ALL_LIMITS_S, PEER_HEARTBEAT_S, PEER_TICK_S
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


ENGINES = 20
SENT_ONCE = 3


def test_limits_that_engines_name_again_do_not_add_heartbeats_or_repeat_in_each(
    exchange, network, reactor
):
    sender = exchange("10.0.0.1", ["10.0.0.2"])
    receiver = exchange("10.0.0.2", ["10.0.0.1"])
    sent = []
    network.reachable = {"10.0.0.1", "10.0.0.2"}
    receiver.datagramReceived = lambda data, addr: sent.append(len(data))
    for tick in range(round(10.0 / PEER_TICK_S)):
        at = tick * PEER_TICK_S
        limits = {f"i-{n:08x}": LimitReport(1, 2.5, at) for n in range(ENGINES)}
        sender.own_state = lambda limits=limits: PeerState({}, limits=limits)
        sender.tick()
        receiver.tick()
        reactor.advance(PEER_TICK_S)
    # At most twice a second, and all limits every two seconds.
    assert len(sent) <= 10.0 / PEER_HEARTBEAT_S + 1
    full = [size for size in sent if size > ENGINES * 10]
    assert len(full) <= 10.0 / ALL_LIMITS_S + 1


def test_gateway_that_lost_the_change_of_a_limit_learns_it_later(
    exchange, network, reactor
):
    sender = exchange("10.0.0.1", ["10.0.0.2"])
    receiver = exchange("10.0.0.2", ["10.0.0.1"])
    engine = EngineRecord("e1", "lm", "10.0.0.9:1", "a", 8, False, 7)
    receiver._fleet.put(engine)
    report = LimitReport(7, 2.5, 0.0, SENT_ONCE)
    sender.own_state = lambda: PeerState({}, limits={"e1": report})
    for _ in range(round(1.0 / PEER_TICK_S)):  # lost
        sender.tick()
        reactor.advance(PEER_TICK_S)
    network.reachable = {"10.0.0.2"}
    for _ in range(round(2 * ALL_LIMITS_S / PEER_TICK_S)):
        sender.tick()
        reactor.advance(PEER_TICK_S)
    assert receiver._fleet.engines["e1"].limit.rate == 2.5


@pytest.fixture
def counting(exchange, network, reactor):
    """Two exchanges, of which the first reports the counters of workspaces."""
    sender = exchange("10.0.0.1", ["10.0.0.2"])
    receiver = exchange("10.0.0.2", ["10.0.0.1"])
    reports = []
    receiver.on_rates = lambda name, report: reports.append((reactor.seconds(), report))
    network.reachable = {"10.0.0.1", "10.0.0.2"}
    counters = {f"w{n}": RequestCounters(n, 0, 0) for n in range(20)}

    def run(seconds):
        for _ in range(round(seconds / PEER_TICK_S)):
            report = RateReport(0.0, dict(counters))
            sender.own_state = lambda report=report: PeerState({}, rates=report)
            sender.tick()
            receiver.tick()
            reactor.advance(PEER_TICK_S)

    return counters, reports, run


def test_heartbeats_repeat_only_counters_that_changed_lately(counting):
    counters, reports, run = counting
    run(30.0)
    counters["w1"] = RequestCounters(9, 1, 0)
    began = len(reports)
    run(9.0)
    later = [report.counters for _, report in reports[began:]]
    assert all(set(one) == {"w1"} for one in later if len(one) < 20)
    assert sum(len(one) == 20 for one in later) <= 1
    assert len(later) >= 5


def test_lost_counter_is_repeated_by_the_next_heartbeat(counting, network):
    counters, reports, run = counting
    run(5.0)
    network.reachable = set()
    counters["w1"] = RequestCounters(9, 0, 0)
    run(PEER_TICK_S)
    network.reachable = {"10.0.0.1", "10.0.0.2"}
    began = len(reports)
    run(PEER_HEARTBEAT_S + 2 * PEER_TICK_S)
    assert any(one.counters.get("w1") == (9, 0, 0) for _, one in reports[began:])


def test_share_counts_gateways_that_were_heard_lately_and_have_not_ended(
    exchange, network, reactor
):
    one = exchange("10.0.0.1", ["10.0.0.2", "10.0.0.3"])
    two = exchange("10.0.0.2", ["10.0.0.1"])
    assert one.count_heard(1.0) == (1, 3)
    network.reachable = {"10.0.0.1"}
    two.own_state = lambda: PeerState({}, is_leaving=True)
    two.tick()
    assert one.count_heard(1.0) == (2, 3)
    reactor.advance(2.0)
    assert one.count_heard(1.0) == (1, 2)
