"""Renewal of the lease by a real follower and store client, in virtual time."""

import struct
from random import Random
from urllib.parse import parse_qs, urlsplit

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from pomeloshift.dispatch import ConfigHolder, ServingConfig, StorePath, Workspace
from pomeloshift.errors import PomeloshiftError
from pomeloshift.gateway._config_reader import ConfigReader
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._store_link import StoreLink
from pomeloshift.gateway._timing import POLL_S
from pomeloshift.gateway._topic_follower import TopicFollower
from pomeloshift.gateway._workspace_access import WorkspaceAccess
from pomeloshift.http1 import CallTimeoutError, ConnectError, Headers, Response
from pomeloshift.net._periodic_tasks import PeriodicTasks
from pomeloshift.platform import CONFIG_TOPIC, StoreClient, StoreSettings
from pomeloshift.workspaces import ConfigLease, KeyCheck

STORE = "10.0.0.1:80"
REVOCATION_S = 5.0
LATENCY_S = 0.02
STEP_S = 0.05
EMPTY_SNAPSHOT = b'{"items": [], "end": 0}'
EMPTY_PAGE = struct.pack(">QQ", 0, 0)
GATEWAYS, READS_PER_S = 39, 6000


class BootClock(Clock):
    """A reactor whose time is that of all clocks."""

    monotonic = boottime = Clock.seconds


@attrs.define
class Network:
    """A path to the store and relays, of which the first ``dead_relays`` calls fail.

    From ``fails_at`` on the store's own path is ``silent`` or ``rejected``.
    """

    reactor: BootClock
    fault: str = "silent"
    fails_at: float = float("inf")
    ends_at: float = float("inf")
    dead_relays: int = 0
    calls: int = 0

    async def call(self, address, head, body, timeout_s, max_bytes=0, pause_s=0.0):
        self.calls += 1
        arrives_at = self.reactor.seconds() + LATENCY_S
        is_dead = False
        if address != STORE and self.dead_relays > 0:
            self.dead_relays -= 1
            is_dead = True
        url = urlsplit(head.target.decode())
        query = parse_qs(url.query)
        wait_s = int(query.get("waitMs", ["0"])[0]) / 1000
        if is_dead or (address == STORE and self.fails_during(arrives_at, wait_s)):
            if not is_dead and self.fault == "rejected":
                raise ConnectError("rejected")
            await deferLater(self.reactor, timeout_s, lambda: None)
            raise CallTimeoutError("silent")
        await deferLater(self.reactor, 2 * LATENCY_S + wait_s, lambda: None)
        is_snapshot = url.path.endswith("newest")
        return Response(200, Headers([]), EMPTY_SNAPSHOT if is_snapshot else EMPTY_PAGE)

    def fails_during(self, arrives_at, wait_s):
        """Whether the response to a read, or the read, is lost on the direct path."""
        return arrives_at + wait_s >= self.fails_at and arrives_at < self.ends_at


class VirtualGateway:
    """What keeps the lease at one gateway."""

    def __init__(self, revocation_s=REVOCATION_S, relays=3, names=("north",), **faults):
        self.reactor = reactor = BootClock()
        self.network = Network(reactor, **faults)
        random, events = Random(1), EventLog(reactor, GatewayMetrics("n"))
        settings = StoreSettings(STORE, 100, READS_PER_S, 4096, 65536)
        store = StoreClient(settings, self.network, reactor)
        self.relays = {f"10.0.1.{n}:80" for n in range(relays)}
        path = StorePath(random)
        StoreLink(store, STORE, path, self.list_relays, events, reactor).attach()
        self.lease = ConfigLease(revocation_s)
        config = ConfigHolder()
        config.offer(ServingConfig(1, (), workspaces=tuple(map(Workspace, names))))
        reader = ConfigReader(config, self.lease.confirm, lambda config: None, events)
        self.follower = TopicFollower(
            CONFIG_TOPIC,
            0,
            store,
            reactor,
            reactor,
            events,
            reader.handlers(),
        )
        self.access = WorkspaceAccess(
            config,
            KeyCheck(self.lease),
            self.follower,
            self.list_relays,
            random,
            events,
            reactor,
        )
        self.access.apply_config(config.current)
        self.follower.start()
        self.tasks = PeriodicTasks(reactor)
        self.access.start(self.tasks)

    def list_relays(self):
        return frozenset(self.relays)

    def run(self, until):
        """Returns the times at which the lease was not valid."""
        expired = []
        while self.reactor.seconds() < until:
            self.reactor.advance(STEP_S)
            is_started = self.reactor.seconds() > 4 * LATENCY_S + STEP_S
            if is_started and not self.access.may_start():
                expired.append(self.reactor.seconds())
        return expired


@given(
    st.sampled_from(["silent", "rejected"]),
    st.floats(0.2, 6.0),
    st.floats(0.1, 30.0),
    st.integers(0, 2),
)
@example("silent", 1.03, 30.0, 2)
def test_lease_outlasts_the_loss_of_the_direct_path(
    fault, fails_at, lasts_s, dead_relays
):
    """Guards against refusals where other gateways reach the store.

    A silent connection is detected only by its time-out, and up to two relays may be
    out of order.
    """
    gateway = VirtualGateway(
        fault=fault,
        fails_at=fails_at,
        ends_at=fails_at + lasts_s,
        dead_relays=dead_relays,
    )
    assert gateway.run(until=fails_at + lasts_s + 6.0) == []


def test_lease_is_renewed_within_the_store_rate():
    """Guards against reads of a healthy store beyond a hundredth of its rate."""
    gateway = VirtualGateway()
    assert gateway.run(until=100.0) == []
    assert gateway.network.calls / 100.0 * GATEWAYS <= READS_PER_S / 100


@pytest.mark.parametrize("changes", [{"revocation_s": None}, {"names": ()}])
def test_without_strict_revocation_or_workspaces_reads_stay_as_they_are(changes):
    gateway = VirtualGateway(**changes)
    assert gateway.run(until=100.0) == []
    assert gateway.network.calls <= 100.0 / POLL_S + 2


def test_outage_for_all_ends_the_lease_and_is_not_answered_with_more_reads():
    """Guards against additional reads when no gateway reaches the store."""
    gateway = VirtualGateway(relays=0, fails_at=10.0, ends_at=22.0)
    expired = gateway.run(until=21.0)
    assert expired
    assert expired[0] <= 10.0 + REVOCATION_S + STEP_S
    before = gateway.network.calls
    assert before <= 21.0 * 3
    gateway.run(until=25.0)
    assert gateway.access.may_start()


def test_lease_outlasts_a_silent_connection_after_an_outage_for_all():
    """Guards against additional reads that end for good with the first outage."""
    gateway = VirtualGateway(relays=0, fails_at=10.0, ends_at=22.0)
    gateway.run(until=30.0)
    gateway.relays.update(f"10.0.1.{n}:80" for n in range(3))
    gateway.network.fails_at, gateway.network.ends_at = 31.0, 60.0
    gateway.network.dead_relays = 2
    assert gateway.run(until=60.0) == []


def test_suspended_gateway_serves_no_keys_before_it_has_read_again():
    """Guards against a lease that goes on after the machine was suspended."""
    gateway = VirtualGateway()
    gateway.run(until=3.0)
    gateway.reactor.rightNow += 30.0
    assert not gateway.access.may_start()
    gateway.run(until=gateway.reactor.seconds() + 1.0)
    assert gateway.access.may_start()


def test_waiting_callers_share_a_read_of_the_configuration():
    """Guards against one read for each request with an unknown key."""
    gateway = VirtualGateway(relays=0)
    gateway.run(until=0.7)
    before, since = gateway.network.calls, gateway.access.oldest_current()
    waiting = [
        Deferred.fromCoroutine(gateway.access.read_since(since)) for _ in range(50)
    ]
    gateway.run(until=0.8)
    assert all(one.called for one in waiting)
    assert gateway.network.calls - before <= 2
    gateway.network.fails_at, gateway.network.fault = 0.0, "rejected"
    gateway.run(until=1.6)
    errors = []
    for _ in range(3):
        read = Deferred.fromCoroutine(
            gateway.access.read_since(gateway.access.oldest_current())
        )
        read.addErrback(lambda failure: errors.append(failure.value))
    gateway.run(until=1.7)
    assert len(errors) == 3
    assert all(isinstance(error, PomeloshiftError) for error in errors)
