"""A gateway whose path to the store is slow and shared by all of its calls."""

import pytest
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from _gateway import config, route, settings_table
from pomeloshift.gateway import _batch_api, _job_store
from pomeloshift.net._periodic_tasks import spawn
from pomeloshift.platform import _store

# A link between two regions, in bytes per second.
LINK_BYTES_PER_S = 15e6 / 8
PIECE_BYTES = 8192
# Longer than all calls of a test take together beside load, in seconds.
SUBMIT_S = 60.0
# Some reads may be lost beside load; one that can never succeed is lost each time.
MAX_LOST = 6


class SlowLink:
    """Relays channels to an address; all share one bandwidth each way."""

    def __init__(self, reactor, target, bytes_per_s=LINK_BYTES_PER_S):
        self.reactor = reactor
        self.bytes_per_s = bytes_per_s
        self.target = target
        self.free_at = {}
        factory = Factory.forProtocol(lambda: _Side(self, "up"))
        # Small windows: what waits is in the sender's buffer.
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    async def reserve(self, way, size):
        """Waits until ``size`` bytes have passed the link."""
        now = self.reactor.seconds()
        until = max(now, self.free_at.get(way, now)) + size / self.bytes_per_s
        self.free_at[way] = until
        await deferLater(self.reactor, until - now, lambda: None)


class _Side(Protocol):
    """One end of a channel through the link; passes on what it receives."""

    def __init__(self, link, way, other=None):
        self.link = link
        self.way = way
        self.other = other
        self.waiting = bytearray()
        self.is_passing = False
        self.is_over = False

    def connectionMade(self):  # noqa: N802
        if self.other is None:
            host, _, port = self.link.target.rpartition(":")
            endpoint = TCP4ClientEndpoint(self.link.reactor, host, int(port))
            factory = Factory.forProtocol(lambda: _Side(self.link, "down", self))
            endpoint.connect(factory).addErrback(lambda _: self.close())
        else:
            self.other.other = self
            self.other.pass_on()

    def connectionLost(self, reason=None):  # noqa: N802
        self.close()
        if self.other is not None:
            self.other.close()

    def close(self):
        self.is_over = True
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802
        self.waiting += data
        if len(self.waiting) > PIECE_BYTES:
            self.transport.pauseProducing()
        self.pass_on()

    def pass_on(self):
        if not self.is_passing and self.other is not None:
            self.is_passing = True
            spawn(self._pass_on())

    async def _pass_on(self):
        while self.waiting and not self.is_over:
            piece = bytes(self.waiting[:PIECE_BYTES])
            del self.waiting[:PIECE_BYTES]
            await self.link.reserve(self.way, len(piece))
            if not self.other.is_over:
                self.other.transport.write(piece)
        self.is_passing = False
        if not self.is_over:
            self.transport.resumeProducing()


@pytest.fixture
def slow(play, monkeypatch):
    """Plays a scenario with a gateway that reaches the store over a slow link."""
    for module in (_batch_api, _job_store):
        monkeypatch.setattr(module, "SUBMIT_TIMEOUT_S", SUBMIT_S)
    monkeypatch.setattr(_job_store, "SUBMIT_TOTAL_S", SUBMIT_S)

    def run(scenario):
        async def over_link(deployment):
            link = SlowLink(deployment.reactor, deployment.store_address)
            deployment.store_address = link.address
            # The memory for callers is what the process of all tests leaves.
            deployment.settings = {
                "platform": {"recordBytes": 262_144, "callBytes": 2_097_152},
                "limits": {"memoryMb": 2048},
            }
            jobs = route("jobs", cap=0)
            deployment.publish(config(2, [jobs]))
            deployment.add_engine()
            gateway = await deployment.add_gateway()
            try:
                return await scenario(deployment, gateway)
            finally:
                await link.port.stopListening()

        return play(over_link)

    return run


def test_large_job_over_a_slow_link_does_not_hold_up_an_accepted_one(slow):
    """Each repeat of its bodies timed out, and no result was written again (LOST)."""

    async def scenario(deployment, gateway):
        accepted = await deployment.submit(gateway, "small", [b"one"] * 4)
        large = await deployment.submit(gateway, "large", [b"x" * 15_000] * 130)
        assert (accepted.status, large.status) == (202, 202)
        return await deployment.results(gateway, "small", 4)

    assert len(slow(scenario)) == 4


def test_page_of_the_job_log_that_takes_long_is_read(play, monkeypatch):
    """Each read of it timed out and began again, and jobs could not be read (LOST)."""
    monkeypatch.setattr(_store, "CALL_TIMEOUT_S", 0.5)

    async def scenario(deployment):
        writer = await deployment.add_gateway()
        accepted = await deployment.submit(writer, "job1", [b"one"])
        await writer.stop()  # It would relay the calls of the other one.
        # A page of half a megabyte, which takes several times the time-out.
        for number in range(400):
            record = b"x" * 1000
            deployment.store.state.put("keyed.jobs", f"other/p/{number}#0", record)
        store = deployment.store_address
        link = SlowLink(deployment.reactor, store, bytes_per_s=150_000)
        deployment.store_address = link.address
        reader = await deployment.add_gateway()
        calls = []
        reader._store.on_call = lambda *call: calls.append(call)
        while not reader.job_log.follower.is_synced:
            lost = [call for call in calls if call[:2] == ("log-newest", "silent")]
            assert len(lost) < MAX_LOST
            await deployment.pause(0.05)
        resp = await deployment.call(reader, "GET", "/api/lots/job1?after=0")
        await link.port.stopListening()
        return accepted.status, resp.status

    assert play(scenario) == (202, 200)


def note_sizes(store, sizes):
    """Notes the bytes of each append that a gateway's client of the store makes."""
    append = store.append

    def note(topic, partition, records, *args, **options):
        sizes.append(sum(len(key) + len(value or b"") for key, value in records))
        return append(topic, partition, records, *args, **options)

    store.append = note


def test_blob_larger_than_a_call_is_stored_in_several(play):
    """The store refused each call with it, so that its job was never accepted."""

    async def scenario(deployment):
        gateways = [await deployment.add_gateway() for _ in range(2)]
        largest = settings_table("")["platform"]["callBytes"]
        sizes = []
        for gateway in gateways:
            note_sizes(gateway._store, sizes)
        large = bytes(range(256)) * 800
        puts = [
            Deferred.fromCoroutine(gateway._blobs.put("j", [large], SUBMIT_S))
            for gateway in gateways
        ]
        refs = [ref for (ref,) in await gatherResults(puts)]
        # Each reads what the other one stored.
        read = [
            await gateway._blobs.get(ref)
            for gateway, ref in zip(gateways, reversed(refs), strict=True)
        ]
        assert max(sizes) <= largest
        return [blob == large for blob in read]

    assert play(scenario) == [True, True]
