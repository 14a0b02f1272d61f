"""Requests that crash the engines that run them, and callers that send them again."""

import itertools
from functools import partial

import pytest
from twisted.internet.protocol import Factory, Protocol

from _gateway import HOST, SERVICE, config, events, route, text
from pomeloshift.dispatch import CrashKeys, Engine, EngineRecord, fingerprint
from pomeloshift.gateway import _crash_log, _engine_access
from pomeloshift.http1 import ConnectionBrokenError
from pomeloshift.standins.platform import Behaviour

POISON = b"a prompt that crashes engines"
# The platform allows three more runs after the crashes of three engines.
MAX_RUNS = 3 + 3
FINGERPRINT = fingerprint(HOST, "/once/a", POISON)
ENGINES = 2 * MAX_RUNS
LOOPBACK = "127.0.0.1"
POLLS = 100


class CutEngine(Protocol):
    """Closes each connection after ``sent``, in a response without a length."""

    sent = events(1, 2) + b"id: 3\nda"

    def dataReceived(self, data):  # noqa: N802
        head = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nConnection: close\r\n\r\n"
        self.transport.write(head + self.sent)
        self.transport.loseConnection()


class SilentlyCutEngine(CutEngine):
    """Closes each connection before the first event."""

    sent = b""


@pytest.fixture
def send():
    """Sends a request under a new id and returns its response, None if it was cut."""
    ids = itertools.count()

    async def send(deployment, gateway, path, body=POISON, **headers):
        try:
            return await deployment.call(
                gateway, "POST", path, body, f"r{next(ids)}", **headers
            )
        except ConnectionBrokenError:
            return None

    return send


@pytest.mark.parametrize(
    ("path", "reset_after_events"),
    [
        ("/plain/a", None),
        ("/unsafe/a", None),
        ("/once/a", None),
        ("/once/a", 2),
        ("/resumable/a", None),
        ("/resumable/a", 2),
    ],
)
def test_request_that_crashed_three_engines_is_not_sent_to_more(
    play, send, path, reset_after_events
):
    async def scenario(deployment):
        deployment.add_crashing_engines(
            ENGINES, POISON, reset_after_events=reset_after_events
        )
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for gateway in gateways * 8:
            resp = await send(deployment, gateway, path)
        return resp, deployment.runs_of(POISON)

    resp, runs = play(scenario)
    assert runs <= MAX_RUNS
    assert resp.status == 503
    assert float(resp.headers.text(b"retry-after")) > 0


def test_restarted_gateway_knows_the_requests_that_crash_engines(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        for _ in range(4):
            gateway = await deployment.add_gateway()
            for _ in range(4):
                await send(deployment, gateway, "/plain/a")
            await gateway.stop()
            deployment.gateways.remove(gateway)
        return deployment.runs_of(POISON)

    assert play(scenario) <= MAX_RUNS


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_request_repeated_with_other_queries_is_not_sent_to_more_engines(
    play, send, path
):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for number, gateway in enumerate(gateways * 8):
            resp = await send(deployment, gateway, f"{path}?try={number}")
        return resp.status, deployment.runs_of(POISON)

    status, runs = play(scenario)
    assert runs <= MAX_RUNS
    assert status == 503


@pytest.mark.parametrize("status", [400, 404, 422, 301])
@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_response_that_ran_nothing_does_not_clear_a_request(play, send, path, status):
    async def scenario(deployment):
        deployment.add_crashing_engines(2, POISON)
        gateway = await deployment.add_gateway()
        crashes = 0
        while crashes < 2:
            await send(deployment, gateway, path)
            crashes = gateway.crashes.count_crashes(fingerprint(HOST, path, POISON))
        deployment.add_engine().behaviour = Behaviour(status=status)
        while not gateway.count_engines()["serving"]:
            await deployment.pause(0.01)
        resp = await send(deployment, gateway, path)
        known = gateway.crashes.count_crashes(fingerprint(HOST, path, POISON))
        return resp.status, known

    assert play(scenario) == (status, 2)


def test_resumed_stream_without_an_event_does_not_clear_a_request(play, send):
    async def scenario(deployment):
        deployment.add_engine().behaviour = Behaviour(reset_after_events=2)
        deployment.add_engine(zone="farther").behaviour = Behaviour(events=2)
        gateway = await deployment.add_gateway()
        resp = await send(deployment, gateway, "/resumable/a")
        assert resp.body == events(1, 2)
        return gateway.crashes.count_crashes(fingerprint(HOST, "/resumable/a", POISON))

    assert play(scenario) == 1


def test_item_resumed_without_an_event_does_not_clear_its_parts(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"], prompts=["5c1e:9,1:9"])
        await deployment.store_progress(gateway, "job1", 4)
        record = EngineRecord("e0", SERVICE, "x:1", "a", 8, False, 1)
        gateway.crashes.note_crash(CrashKeys("f", ("5c1e",)), Engine(record), "r")
        deployment.add_engine()
        (row,) = await deployment.results(gateway, "job1", 1)
        return row["text"], gateway.crashes.count_crashes("part-5c1e")

    assert play(scenario) == (text(4), 1)


def test_request_that_crashes_engines_is_stopped_between_its_attempts(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        deployment.publish(config(2, [route("plain", maxAttempts=ENGINES)]))
        gateway = await deployment.add_gateway()
        resp = await send(deployment, gateway, "/plain/a")
        return resp.status, deployment.runs_of(POISON)

    status, runs = play(scenario)
    assert status == 502  # it may have run, so 503 would be wrong
    assert runs <= MAX_RUNS


def test_other_requests_are_served_after_a_request_has_crashed_engines(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        gateway = await deployment.add_gateway()
        for _ in range(8):
            await send(deployment, gateway, "/plain/a")
        return [
            await send(deployment, gateway, "/plain/a", b"harmless"),
            await send(deployment, gateway, "/plain/b", b"harmless"),
        ]

    assert [resp.body for resp in play(scenario)] == [events(1, 4)] * 2


def test_engines_that_garble_responses_do_not_quarantine_a_request(play, send):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(has_stamp=False)
        gateway = await deployment.add_gateway()
        for _ in range(6):
            await send(deployment, gateway, "/plain/a")
        engine.behaviour = Behaviour()
        return await send(deployment, gateway, "/plain/a")

    assert play(scenario).status == 200


def test_request_that_crashes_engines_silently_is_stopped(play, send):
    """The engines stay silent, and are listed no more after the caller has left."""

    async def scenario(deployment):
        for _ in range(4):
            deployment.add_engine().behaviour = Behaviour(is_silent=True)
        deployment.publish(config(2, [route("once", timeoutMs=200)]))
        gateway = await deployment.add_gateway()
        crashed = set()
        while len(crashed) < 3:
            resp = await send(deployment, gateway, "/once/a")
            for engine in deployment.engines:
                if engine.requests and engine.id not in crashed:
                    crashed.add(engine.id)
                    deployment.deregister(engine)
            while gateway.crashes.count_crashes(FINGERPRINT) < len(crashed):
                await deployment.pause(0.01)
        refused = await send(deployment, gateway, "/once/a")
        return resp.status, refused.status, deployment.runs_of(POISON)

    assert play(scenario) == (504, 503, 3)


@pytest.fixture
def add_cut_engine(reactor):
    """Adds an engine of a protocol class; the ports are closed after the test."""
    ports = []

    def add(deployment, protocol, **fields):
        factory = Factory.forProtocol(protocol)
        ports.append(reactor.listenTCP(0, factory, interface=LOOPBACK))
        engine = deployment.add_engine()
        engine.address = f"{LOOPBACK}:{ports[-1].getHost().port}"
        deployment.register(engine, **fields)
        return engine

    yield add
    for port in ports:
        port.stopListening()


@pytest.mark.parametrize("protocol", [CutEngine, SilentlyCutEngine])
def test_crash_within_a_response_without_a_length_counts_at_once(
    play, send, add_cut_engine, protocol
):
    async def scenario(deployment):
        add_cut_engine(deployment, protocol)
        gateway = await deployment.add_gateway()
        await send(deployment, gateway, "/once/a")
        return gateway.crashes.count_crashes(FINGERPRINT)

    assert play(scenario) == 1


def test_crash_of_an_item_within_a_response_without_a_length_counts(
    play, add_cut_engine
):
    async def scenario(deployment):
        add_cut_engine(deployment, CutEngine)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"], prompts=["5c1e:9,1:9"])
        for _ in range(POLLS):
            if gateway.crashes.count_crashes("part-5c1e"):
                break
            await deployment.pause(0.02)
        return gateway.crashes.count_crashes("part-5c1e")

    assert play(scenario) == 1


@pytest.mark.parametrize("path", ["/once/a", "/resumable/a"])
def test_stream_without_a_length_that_ends_before_its_first_event_is_not_complete(
    play, send, add_cut_engine, path
):
    async def scenario(deployment):
        add_cut_engine(deployment, SilentlyCutEngine)
        gateway = await deployment.add_gateway()
        return await send(deployment, gateway, path)

    assert play(scenario).status == 502


def test_stream_resumed_without_a_length_and_without_an_event_is_not_complete(
    play, send, add_cut_engine
):
    async def scenario(deployment):
        deployment.add_engine().behaviour = Behaviour(reset_after_events=2)
        add_cut_engine(deployment, SilentlyCutEngine, zone="farther")
        gateway = await deployment.add_gateway()
        return await send(deployment, gateway, "/resumable/a")

    assert play(scenario) is None


def test_item_resumed_without_a_length_and_without_an_event_is_not_complete(
    play, add_cut_engine
):
    async def scenario(deployment):
        cut = add_cut_engine(deployment, SilentlyCutEngine)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"])
        await deployment.store_progress(gateway, "job1", 2)
        await deployment.pause(0.5)
        deployment.add_engine()
        await deployment.pause(0.5)
        deployment.deregister(cut)
        return await deployment.results(gateway, "job1", 1)

    (row,) = play(scenario)
    assert row["text"] == text(4)


def test_gateway_without_the_store_learns_of_crashes_after_the_outage(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        first, second = [await deployment.add_gateway() for _ in range(2)]
        deployment.store.is_busy = True
        for _ in range(4):
            resp = await send(deployment, first, "/once/a")
        assert resp.status == 503
        deployment.store.is_busy = False
        while second.crashes.count_crashes(FINGERPRINT) < 3:
            await deployment.pause(0.01)
        resp = await send(deployment, second, "/once/a")
        return resp.status, deployment.runs_of(POISON)

    assert play(scenario) == (503, 3)


def test_batch_item_under_which_engines_crash_is_not_quarantined(play):
    async def scenario(deployment):
        deployment.add_crashing_engines(3, POISON)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [POISON])
        while deployment.runs_of(POISON) < 3:
            await deployment.pause(0.02)
        deployment.add_engine()
        return await deployment.results(gateway, "job1", 1)

    assert [row["state"] for row in play(scenario)] == ["completed"]


def test_request_that_many_callers_share_is_served_after_an_unrelated_mass_crash(
    play, send, monkeypatch
):
    monkeypatch.setattr(_crash_log, "QUARANTINE_TRIAL_S", 0.2)

    async def scenario(deployment):
        deployment.add_crashing_engines(3, b"shared")
        gateway = await deployment.add_gateway()
        for _ in range(3):
            await send(deployment, gateway, "/unsafe/a", b"shared")
        deployment.add_engine()
        refused = await send(deployment, gateway, "/unsafe/a", b"shared")
        await deployment.pause(0.4)
        return refused, [
            await send(deployment, gateway, "/unsafe/a", b"shared") for _ in range(2)
        ]

    refused, served = play(scenario)
    assert refused.status == 503
    assert [resp.status for resp in served] == [200, 200]


def add_restarting_engines(deployment, count, record_delay_s):
    """Adds engines that start again under their id and address after each crash.

    The record of a start is in the store ``record_delay_s`` later, never if None.
    """

    def restart(engine):
        engine.born += 1
        if record_delay_s is not None:
            deployment.reactor.callLater(record_delay_s, deployment.register, engine)

    for _ in range(count):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(crash_body=POISON)
        engine.on_crash = partial(restart, engine)


@pytest.mark.parametrize("record_delay_s", [None, 0.4])
@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_crashes_of_engines_whose_new_records_are_late_do_not_count_as_one(
    play, send, monkeypatch, path, record_delay_s
):
    monkeypatch.setattr(_engine_access, "AVOID_FAILED_S", 0.05)

    async def scenario(deployment):
        add_restarting_engines(deployment, 2, record_delay_s)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for gateway in gateways * 10:
            resp = await send(deployment, gateway, path)
            await deployment.pause(0.15)
        return resp.status, deployment.runs_of(POISON)

    status, runs = play(scenario)
    assert runs <= MAX_RUNS
    assert status == 503


def test_engine_that_reset_a_connection_without_a_crash_is_used_again(
    play, send, monkeypatch
):
    monkeypatch.setattr(_engine_access, "AVOID_FAILED_S", 0.05)

    async def scenario(deployment):
        deployment.add_crashing_engines(1, POISON)
        (engine,) = deployment.engines
        engine.on_crash = lambda: None
        gateway = await deployment.add_gateway()
        cut = await send(deployment, gateway, "/once/a")
        await deployment.pause(0.1)
        sound = await send(deployment, gateway, "/once/a", b"harmless")
        return cut.status, sound.status

    assert play(scenario) == (502, 200)


async def crash_three_engines(deployment, send, gateway, path):
    """Sends the fatal request until it is refused."""
    for _ in range(MAX_RUNS):
        resp = await send(deployment, gateway, path)
        if resp is not None and resp.status == 503:
            return
    raise AssertionError("the fatal request is still sent")


def test_caller_that_takes_up_a_stream_does_not_get_past_the_quarantine(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        gateway = await deployment.add_gateway()
        await crash_three_engines(deployment, send, gateway, "/resumable/a")
        runs = deployment.runs_of(POISON)
        headers = {"Last_Event_Id": 2, "Resumes": "r0"}
        resp = await send(deployment, gateway, "/resumable/a", **headers)
        return resp.status, deployment.runs_of(POISON) - runs

    assert play(scenario) == (503, 0)


def test_crashes_of_streams_that_are_taken_up_count_for_their_request(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON, reset_after_events=1)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for number, gateway in enumerate(gateways * 6):
            headers = {"Last_Event_Id": number, "Resumes": "r0"}
            await send(deployment, gateway, "/resumable/a", **headers)
        return deployment.runs_of(POISON)

    assert play(scenario) <= MAX_RUNS


def test_request_stays_refused_when_its_route_moves_to_another_service(play, send):
    async def scenario(deployment):
        deployment.add_crashing_engines(ENGINES, POISON)
        gateway = await deployment.add_gateway()
        await crash_three_engines(deployment, send, gateway, "/once/a")
        other = deployment.add_engine()
        record = other.record(other.address, "other")
        deployment.store.state.put("keyed.servers", other.id, record)
        deployment.publish(config(2, [route("once", service="other", timeoutMs=900)]))
        while (await send(deployment, gateway, "/once/a", b"harmless")).status != 200:
            await deployment.pause(0.02)
        resp = await send(deployment, gateway, "/once/a")
        return resp.status, len([r for r in other.requests if r.body == POISON])

    assert play(scenario) == (503, 0)


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_engine_that_has_restarted_serves_while_its_record_is_late(
    play, send, monkeypatch, path
):
    """As in an outage of the store, in which no record comes."""
    monkeypatch.setattr(_engine_access, "AVOID_FAILED_S", 0.05)

    async def scenario(deployment):
        add_restarting_engines(deployment, 1, record_delay_s=None)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        await send(deployment, gateways[0], path)
        await deployment.pause(0.3)
        return [
            (await send(deployment, gateway, path, b"harmless")).status
            for gateway in gateways
        ]

    assert play(scenario) == [200, 200]


def test_item_runs_at_an_engine_that_has_restarted_while_its_record_is_late(play, send):
    async def scenario(deployment):
        add_restarting_engines(deployment, 1, record_delay_s=None)
        gateway = await deployment.add_gateway()
        await send(deployment, gateway, "/once/a")
        await deployment.submit(gateway, "job1", [b"harmless"])
        return await deployment.results(gateway, "job1", 1)

    (row,) = play(scenario)
    assert row["text"] == text(4)
