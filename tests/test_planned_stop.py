"""A planned stop while requests arrive."""

import pytest
from twisted.internet.defer import Deferred, gatherResults

from _gateway import config, events, job, route
from _raw_engine import add_raw_engine, stamped, with_length
from pomeloshift.dispatch import StopWindow
from pomeloshift.dispatch._stop_window import MAX_ROUTES
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


# Requests that come late in the grace period


def not_run_after(delay_s):
    """Returns an engine's answer that rejects each request after a time."""

    def answer(channel, request):
        fields = [b"X-Request-Id: " + request.id.encode(), b"X-Not-Executed: 1"]
        channel.finish(with_length(503, b"", *fields), delay_s)

    return answer


@pytest.mark.parametrize("path", ["/unsafe/a", "/once/a", "/plain/a"])
def test_request_that_was_not_run_in_time_is_not_sent_late_in_a_stop(
    play, monkeypatch, path
):
    """It was sent to another engine when it could no longer finish, and cut (LOST)."""
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.1)

    async def scenario(deployment):
        add_raw_engine(deployment, not_run_after(1.0), zone="a")
        other = add_raw_engine(deployment, lambda channel, request: None, zone="b")
        gateway = await deployment.add_gateway(graceS=2)
        while gateway.count_engines()["serving"] < 2:
            await deployment.pause(0.01)
        call = Deferred.fromCoroutine(deployment.call(gateway, "POST", path))
        while not deployment.engines[0].requests:
            await deployment.pause(0.01)
        await gateway.drain()
        await gateway.stop()
        resp = await call
        return resp.status, len(other.requests)

    assert play(scenario) == (503, 0)


@pytest.mark.parametrize("path", ["/unsafe/a", "/plain/a"])
def test_request_of_a_route_that_takes_too_long_is_refused_in_a_stop(
    play, monkeypatch, path
):
    """It was taken and passed on, and cut at the end of the grace period (LOST)."""
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.6)

    def answer(channel, request):
        channel.finish(with_length(200, b"done", *stamped(request.id)), 1.5)

    async def scenario(deployment):
        add_raw_engine(deployment, answer)
        gateway = await deployment.add_gateway(graceS=2)
        while not gateway.count_engines()["serving"]:
            await deployment.pause(0.01)
        calm = await deployment.call(gateway, "POST", path)
        draining = Deferred.fromCoroutine(gateway.drain())
        late = await deployment.call(gateway, "POST", path, request_id="r2")
        await draining
        return calm.status, late.status, len(deployment.engines[0].requests)

    assert play(scenario) == (200, 503, 1)


def test_request_that_waits_for_the_configuration_is_not_sent_late_in_a_stop(
    play, monkeypatch
):
    """It was dispatched when the store responded, however late that was."""
    monkeypatch.setattr(gateway_module, "LEAVE_ROTATION_S", 0.1)

    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        while not gateway.count_engines()["serving"]:
            await deployment.pause(0.01)
        deployment.store.delay_s = 0.7
        await deployment.pause(0.5)  # The configuration is not current.
        call = Deferred.fromCoroutine(deployment.call(gateway, "POST", "/new/a"))
        await deployment.pause(0.05)
        deployment.publish(config(2, [route("new", kind="idempotent")]))
        await gateway.drain()
        await gateway.stop()
        resp = await call
        return resp.status, len(engine.requests)

    assert play(scenario) == (503, 0)


def test_window_lets_all_requests_pass_until_a_stop():
    window = StopWindow()
    window.note_run("long", 1000.0)
    assert window.admits("long", 10_000.0)


def test_window_ends_for_long_routes_before_short_ones():
    window = StopWindow()
    for _ in range(40):
        window.note_run("long", 5.0)
        window.note_run("short", 0.5)
    window.begin(sends_until=102.6, ends_at=107.3)
    assert window.admits("long", 102.0)
    assert not window.admits("long", 102.5)
    for route_name in ("short", "unknown"):
        assert window.admits(route_name, 102.6)
        assert not window.admits(route_name, 102.7)


def test_window_allows_for_the_spread_of_a_route():
    window = StopWindow()
    for number in range(200):
        window.note_run("even", 2.0)
        window.note_run("uneven", 0.5 if number % 2 else 3.5)
    assert window.longest_s("even") == pytest.approx(2.0)
    assert window.longest_s("uneven") > 3.5


def test_window_forgets_routes_without_requests():
    window = StopWindow()
    for number in range(MAX_ROUTES + 1):
        window.note_run("busy", 5.0)
        window.note_run(f"r{number}", 5.0)
    assert window.longest_s("r0") == 0.0
    assert window.longest_s("busy") == 5.0
    assert window.longest_s(f"r{MAX_ROUTES}") == 5.0
