"""A planned stop while requests arrive."""

import pytest
from twisted.internet.defer import Deferred, gatherResults

from _gateway import events, job
from pomeloshift.gateway import _gateway as gateway_module
from pomeloshift.gateway._request_dispatcher import RequestDispatcher
from pomeloshift.http1 import ConnectError, ConnectionBrokenError
from pomeloshift.standins.platform import Behaviour

REQUESTS = 60
GAP_S = 0.01
STOP_AFTER = 20


@pytest.mark.parametrize("path", ["/once/a", "/unsafe/a", "/resumable/a"])
def test_planned_stop_under_load_cuts_off_no_request_that_was_read(
    play, monkeypatch, path
):
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.2)

    read = set()
    handle = RequestDispatcher.handle

    def note_read(self, exchange):
        read.add(exchange.head.headers.text(b"x-request-id"))
        handle(self, exchange)

    monkeypatch.setattr(RequestDispatcher, "handle", note_read)

    async def send(deployment, gateway, number):
        name = f"r{number}"
        try:
            return await deployment.call(gateway, "POST", path, request_id=name)
        except (ConnectError, ConnectionBrokenError):
            # The port is closed, or the request crosses the close of a connection.
            assert name not in read
            return None

    async def scenario(deployment):
        for _ in range(4):
            deployment.add_engine().behaviour = Behaviour(events=10, event_gap_s=0.02)
        gateway = await deployment.add_gateway()
        while gateway.count_engines()["serving"] < 4:
            await deployment.pause(0.01)
        calls, draining = [], None
        for number in range(REQUESTS):
            if number == STOP_AFTER:
                draining = Deferred.fromCoroutine(gateway.drain())
            calls.append(Deferred.fromCoroutine(send(deployment, gateway, number)))
            await deployment.pause(GAP_S)
        responses = await gatherResults(calls)
        await draining
        return responses

    responses = play(scenario)
    served = [resp for resp in responses if resp is not None and resp.status == 200]
    refused = [resp for resp in responses if resp is not None and resp.status == 503]
    assert len(served) >= STOP_AFTER
    assert all(resp.body == events(1, 10) for resp in served)
    assert len(served) + len(refused) + responses.count(None) == REQUESTS


def test_request_on_a_connection_accepted_just_before_the_stop_has_its_answer(
    play, monkeypatch
):
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.05)

    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        accepted = await deployment.pool._connect(gateway.caller_address)
        received = []
        accepted.dataReceived = received.append
        while not gateway._caller_listener._connections:
            await deployment.pause(0.01)
        draining = Deferred.fromCoroutine(gateway.drain())
        while not gateway._dispatcher.is_closed:
            await deployment.pause(0.01)
        accepted.transport.write(
            b"POST /once/a HTTP/1.1\r\nHost: app.example\r\nContent-Length: 0\r\n\r\n"
        )
        await draining
        return b"".join(received)

    assert play(scenario).startswith(b"HTTP/1.1 503")


@pytest.fixture
def stopping(play, monkeypatch):
    """Plays calls that wait at a gateway while it stops as the platform stops it.

    ``start`` gets the deployment, a gateway that accepted `job1`, and a function that
    sends a call; it starts the calls and returns their deferreds.
    """
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.05)

    def run(start):
        async def scenario(deployment):
            gateway = await deployment.add_gateway()
            await deployment.submit(gateway, "job1", [b"one"])

            def send(*call, **headers):
                coroutine = deployment.call(gateway, *call, **headers)
                return Deferred.fromCoroutine(coroutine)

            calls = await start(deployment, gateway, send)
            await gateway.drain()
            await gateway.stop()
            return await gatherResults(calls, consumeErrors=True)

        return play(scenario)

    return run


def test_planned_stop_answers_reads_that_wait_for_results(stopping):
    """They were reset without an answer, up to a second after they were sent."""

    async def start(deployment, gateway, send):
        read = ("GET", "/api/lots/job1?after=0")
        calls = [send(*read, X_Wait_Ms=1000) for _ in range(3)]
        while len(gateway._batch_api._waiting.get("job1", ())) < 3:
            await deployment.pause(0.01)
        return calls

    responses = stopping(start)
    assert [resp.status for resp in responses] == [200] * 3
    assert all(resp.body == responses[0].body for resp in responses)


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (("GET", "/api/items/job1?id=item0"), 200),
        (("GET", "/api/lots/job9?after=0"), 404),
        (("DELETE", "/api/lots/job1"), 200),
        (("POST", "/jobs/new", job([b"one"])), 202),
        (("GET", "/nowhere/"), 404),
    ],
)
def test_planned_stop_answers_calls_that_wait_for_the_store(stopping, call, status):
    """The drain counted online requests only, and reset all other calls under way."""

    async def start(deployment, gateway, send):
        gateway._blobs._cache.clear()
        deployment.store.delay_s = 0.7
        await deployment.pause(0.5)  # The log and the configuration are not current.
        return [send(*call)]

    (resp,) = stopping(start)
    assert resp.status == status
