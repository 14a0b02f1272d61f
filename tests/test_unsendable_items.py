"""Items of jobs that HTTP cannot carry to an engine."""

import msgspec
import pytest
from twisted.internet.task import Clock

from _gateway import job, text
from pomeloshift.http1 import Headers, InvalidRequestError, RequestHead
from pomeloshift.http1._client_connection import ClientConnection
from pomeloshift.jobs import JobSubmitted
from test_http1 import Transport

HOST = (b"Host", b"a")
CHANGES = {
    "blank-after-value": ({"headers": {"X-Model": "m "}}, "X-Model"),
    "blank-before-value": ({"headers": {"X-Model": " m"}}, "X-Model"),
    "line-feed": ({"headers": {"X-Model": "m\nX-Other: n"}}, "X-Model"),
    "control-character": ({"headers": {"X-Model": "m\x00"}}, "X-Model"),
    "header-name": ({"headers": {"X Model": "m"}}, "X Model"),
    "empty-name": ({"headers": {"": "m"}}, "header name"),
    "blank-in-path": ({"path": "/jobs/a b"}, "path"),
    "empty-path": ({"path": ""}, "path"),
    "letter-in-path": ({"path": "/jobs/\u00e4"}, "path"),
    "blank-after-id": ({"id": "item1 "}, "X-Request-Id"),
}


def job_with(changes):
    """A job of three items, of which the second one is changed."""
    items = msgspec.json.decode(job([b"a", b"b", b"c"]))["items"]
    items[1].update(changes)
    return msgspec.json.encode({"items": items})


@pytest.mark.parametrize("change", CHANGES)
def test_job_with_an_item_that_cannot_be_sent_is_refused(play, change):
    """It was accepted, and its items took all free slots for good (LOST)."""
    changes, field = CHANGES[change]

    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        body = job_with(changes)
        resp = await deployment.call(gateway, "POST", "/jobs/new", body, "j1")
        read = await deployment.call(gateway, "GET", "/api/lots/j1?after=0")
        return resp.status, resp.body.decode(), read.status, len(engine.requests)

    status, why, read, requests = play(scenario)
    assert (status, read, requests) == (400, 404, 0)
    assert field in why
    assert "item1" in why


@pytest.mark.parametrize(
    "headers",
    [
        {"X-Model": "m n", "X-Note": ""},
        {"X-Note": "a\tb"},
        {"X-Note": "gr\u00fc\u00df"},
        {"Connection": "close", "Transfer-Encoding": "chunked", "Content-Length": "1"},
    ],
)
def test_job_whose_headers_can_be_sent_runs(play, headers):
    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        body = job_with({"headers": headers})
        resp = await deployment.call(gateway, "POST", "/jobs/new", body, "j1")
        rows = await deployment.results(gateway, "j1", 3)
        return resp.status, {row["text"] for row in rows}, len(engine.requests)

    assert play(scenario) == (202, {text(4)}, 3)


def test_stored_item_that_cannot_be_sent_holds_no_slot_and_no_connection(play):
    """It came from a gateway of an earlier version, and blocked the jobs of others."""

    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        refs = await gateway._blobs.put("odd", [b"x"] * 20, 5.0)
        rows = [
            (f"odd{n}", f"/jobs/{n}", [("X-Model", "m ")], ref, 10)
            for n, ref in enumerate(refs)
        ]
        wall = gateway._clock.wall()
        queue = "app.example/jobs/"
        record = JobSubmitted("odd", queue, "app.example", "/jobs/new", wall, rows)
        await gateway.job_log.append_within(record, 5.0)
        accepted = await deployment.submit(gateway, "sound", [b"one"] * 12)
        rows = await deployment.results(gateway, "sound", 12)
        idle = sum(len(each) for each in gateway._pool._idle.values())
        running = gateway.batch_loop.running
        return accepted.status, {row["state"] for row in rows}, idle, running

    status, states, idle, running = play(scenario)
    assert (status, states) == (202, {"completed"})
    assert idle < 40
    assert running <= 20


@pytest.mark.parametrize(
    "head",
    [
        RequestHead(b"POST", b"/a b", Headers([HOST])),
        RequestHead(b"POST", b"/a", Headers([HOST, (b"X-Model", b"m ")])),
        RequestHead(b"POST", b"/a", Headers([HOST, (b"X Model", b"m")])),
    ],
)
def test_request_that_cannot_be_sent_closes_its_connection(head):
    """The connection stayed open, neither used nor idle."""

    class Pool:
        reactor = Clock()
        discarded = []
        discard = discarded.append

    connection = ClientConnection(Pool(), "10.0.0.1:80")
    connection.makeConnection(Transport())
    assert head.find_fault() is not None
    with pytest.raises(InvalidRequestError):
        connection.send(head, b"body")
    assert connection.transport.ended == "aborted"
    assert connection.transport.value() == b""
    assert not connection.is_usable
