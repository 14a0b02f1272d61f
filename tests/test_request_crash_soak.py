"""Gateways that restart and lose the store while a request crashes engines.

The engines start again under their ids, with records that come late, and some crash
without closing their connections.
"""

from random import Random

import attrs
import pytest
from twisted.internet.defer import fail
from twisted.internet.testing import MemoryReactorClock

from _crash_soak import Gateway, Owner
from _crash_topic import STEP_S, Append, Link, Topic
from _virtual import VirtualClock
from pomeloshift.dispatch import CrashKeys, EngineRecord
from pomeloshift.platform import StoreFullError

GATEWAYS = 6
ENGINES = (1, 2, 4, 8)
LENGTH_S = 90.0
# The platform's bounds: a gateway is in touch after this long without a disturbance.
CONTACT_S = 4.0
MAX_LATE = 3
MAX_REFUSED = 0.05
RESTART_S = (1.0, 4.0)
# An engine's record is written with its first heartbeat, and removed after three.
RECORD_S = (0.0, 1.2)
REMOVAL_S = 3.6
TIMEOUT_S = 1.5
# Chances in each step of 0.1 s.
FATAL_SHARE, SOUND_SHARE, DISTURBANCE_SHARE = 0.3, 0.6, 0.03
OUTAGE_SHARE, REJECTION_SHARE = 0.004, 0.3
SILENT_SHARE = 0.2


class FaultyLink(Link):
    """A link whose store rejects some appends for good."""

    random = None

    def append(self, records):
        if not self.is_down and self.random.random() < REJECTION_SHARE:
            return Append(fail(StoreFullError("the store is full")))
        return super().append(records)


@attrs.define(eq=False)
class Server:
    """An engine, and the start that its record in the store names."""

    id: str
    born: int = 1
    up_at: float = 0.0
    record_at: float = 0.0
    removed_at: float = float("inf")

    def record(self):
        return EngineRecord(self.id, "lm", "10.0.0.1:1", "a", 8, False, self.born)


class Soak:
    def __init__(self, seed):
        self.random = Random(seed)
        self.reactor = MemoryReactorClock()
        self.clock = VirtualClock(self.reactor)
        self.topic = Topic(self.reactor)
        self.members = [f"10.0.0.{n}" for n in range(GATEWAYS)]
        self.servers = [Server(f"e{n}") for n in range(self.random.choice(ENGINES))]
        self.records = {server.id: server.record() for server in self.servers}
        self.store_cut_until = 0.0
        self.gateways = [self.start(n) for n in range(GATEWAYS)]
        self.crashes = []
        self.late = self.sent = self.refused = 0
        while self.now < LENGTH_S:
            self.step()
        for gateway in self.gateways:
            gateway.stop()

    @property
    def now(self):
        return self.clock.monotonic()

    def start(self, number):
        link = FaultyLink(self.topic)
        link.random = self.random
        link.is_down = self.now < self.store_cut_until
        owner = Owner(self.members, self.members[number])
        gateway = Gateway.start(link, owner, self.reactor, self.clock)
        if link.is_down:
            gateway.cut_until = self.store_cut_until
        return gateway

    def step(self):
        self.reactor.advance(STEP_S)
        if self.random.random() < DISTURBANCE_SHARE:
            self.disturb(self.random.randrange(GATEWAYS))
        if self.random.random() < OUTAGE_SHARE:
            self.store_cut_until = self.now + self.random.uniform(1.0, 12.0)
            for gateway in self.gateways:
                self.cut(gateway, self.store_cut_until)
        self.write_records()
        for gateway in self.gateways:
            self.follow(gateway)
        if self.random.random() < FATAL_SHARE:
            self.send_fatal(self.random.choice(self.gateways))
        if self.random.random() < SOUND_SHARE:
            self.send_sound(self.random.choice(self.gateways))

    def disturb(self, number):
        gateway = self.gateways[number]
        if self.random.random() < 0.5:
            gateway.stop()
            self.gateways[number] = self.start(number)
            return
        self.cut(gateway, self.now + self.random.uniform(0.5, 6.0))

    def cut(self, gateway, until):
        gateway.link.is_down = True
        gateway.cut_until = max(gateway.cut_until, until)

    def write_records(self):
        """Writes and removes the records of engines as their heartbeats would."""
        for server in self.servers:
            if self.now >= server.removed_at:
                self.records.pop(server.id, None)
            if self.now >= server.record_at >= server.up_at:
                self.records[server.id] = server.record()
                server.removed_at = float("inf")

    def follow(self, gateway):
        if gateway.cut_until:
            gateway.disturbed_at = self.now
            if self.now >= gateway.cut_until:
                gateway.cut_until = 0.0
                gateway.link.restore()
        else:
            gateway.fleet.replace(list(self.records.values()), self.now)

    # Requests

    def pick(self, gateway):
        """Returns an engine that the gateway can use, as it is and is known, if any."""
        usable = [
            server
            for server in self.servers
            if server.id in gateway.fleet.engines and self.now >= server.up_at
        ]
        if not usable:
            return None
        server = self.random.choice(usable)
        engine = gateway.fleet.engines[server.id]
        if engine.may_have_restarted:
            engine.note_reported(server.born)
        return server, engine

    def may_send(self, gateway, keys):
        return not gateway.log.is_quarantined(keys) or gateway.log.take_trial(keys)

    def is_late(self, gateway):
        if len(self.crashes) < 3:
            return False
        known_at = max(self.crashes[2], gateway.disturbed_at, self.store_cut_until)
        return self.now - known_at > CONTACT_S

    def send_fatal(self, gateway):
        keys = CrashKeys("fa7a1", ("5c1e",))
        picked = self.pick(gateway)
        if picked is None or not self.may_send(gateway, keys):
            return
        self.late += self.is_late(gateway)
        self.crashes.append(self.now)
        self.crash(gateway, keys, *picked)

    def crash(self, gateway, keys, server, engine):
        if self.random.random() < SILENT_SHARE:
            give_up = gateway.log.note_given_up
            self.reactor.callLater(TIMEOUT_S, give_up, keys, engine, "r")
        else:
            gateway.log.note_crash(keys, engine, "r")
        for beside in self.random.sample(self.gateways, 3):
            known = beside.fleet.engines.get(server.id)
            if known is not None:
                sound = CrashKeys(f"b{self.random.randrange(40)}", ("5c1e",))
                beside.log.note_crash(sound, known, "r")
        server.born += 1
        server.up_at = self.now + self.random.uniform(*RESTART_S)
        server.record_at = server.up_at + self.random.uniform(*RECORD_S)
        server.removed_at = self.now + REMOVAL_S

    def send_sound(self, gateway):
        keys = CrashKeys(f"b{self.random.randrange(40)}", ("5c1e",))
        picked = self.pick(gateway)
        if picked is None:
            return
        if not self.may_send(gateway, keys):
            self.refused += 1
            return
        self.sent += 1
        picked[1].last_byte_at = self.now
        gateway.log.note_answered(keys, "r")


@pytest.mark.parametrize("seed", [*range(12), 194])
def test_fatal_request_is_stopped_at_gateways_that_restart_and_lose_the_store(seed):
    assert Soak(seed).late <= MAX_LATE


@pytest.mark.parametrize("seed", [*range(6), 21, 297])
def test_sound_requests_with_the_part_of_a_fatal_request_are_served(seed):
    soak = Soak(seed)
    assert soak.refused <= MAX_REFUSED * (soak.sent + soak.refused)
