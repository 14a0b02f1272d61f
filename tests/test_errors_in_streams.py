"""Engines whose errors arrive where the rest of a stream is expected."""

import pytest

from _gateway import events, text
from _raw_engine import FRAMINGS, add_raw_engine, head, stamped, with_length
from pomeloshift.http1 import ConnectionBrokenError

STREAM = b"Content-Type: text/event-stream"
BEGUN = events(1, 2)
ERRORS = {
    "500": (500, b"Content-Type: text/plain", b"out of memory"),
    "404": (404, b"Content-Type: text/plain", b"no such model"),
    "plain": (200, b"Content-Type: text/plain", b"error: out of memory\n\n"),
    "json": (200, b"Content-Type: application/json", b'{"error": "memory"}\n\n'),
    "lines": (200, STREAM, b"error: out of memory\n\n"),
    "event": (200, STREAM, b"event: error\ndata: out of memory\n\n"),
    "data": (200, STREAM, b'data: {"error": "memory"}\n\n'),
    "other-type": (200, b"Content-Type: application/json", b""),
}


def send_error(channel, request, error, framing):
    status, content_type, body = ERRORS[error]
    fields = [*stamped(request.id), content_type]
    channel.finish(FRAMINGS[framing](status, body, *fields))
    if framing == "neither":
        channel.engine._raw_reactor.callLater(0.01, channel.close)


def break_off(channel, request, rest=b"id: 3\ndata: wo"):
    """Sends the stream's first events and a part of the next one, and closes."""
    fields = [*stamped(request.id), STREAM, b"Content-Length: 9999"]
    channel.send(head(200, *fields) + BEGUN + rest)
    channel.close()


@pytest.fixture
def call(play):
    """Plays a call at a gateway with engines that answer as given, the nearest first.

    Returns the body of a success that is complete, None without one, and each engine's
    number of requests.
    """

    def run(path, *answers, **headers):
        async def scenario(deployment):
            for zone, answer in zip("abc", answers, strict=False):
                add_raw_engine(deployment, answer, zone=zone)
            gateway = await deployment.add_gateway()
            while gateway.count_engines()["serving"] < len(answers):
                await deployment.pause(0.01)
            try:
                resp = await deployment.call(gateway, "POST", path, **headers)
                body = resp.body if resp.status == 200 else None
            except ConnectionBrokenError:
                body = None
            return body, [len(engine.requests) for engine in deployment.engines]

        return play(scenario)

    return run


@pytest.fixture
def received(monkeypatch):
    """What callers received of each response, also of those that broke off."""
    from pomeloshift.http1 import Exchange

    written = bytearray()
    write = Exchange.write

    def note(self, data):
        if self.head.target in (b"/resumable/a", b"/once/a"):
            written.extend(data)
        write(self, data)

    monkeypatch.setattr(Exchange, "write", note)
    return written


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("error", ERRORS)
def test_error_of_the_next_engine_does_not_get_into_a_stream(
    call, received, error, framing
):
    """Its text stood in the stream, which ended as if it were complete."""
    body, requests = call(
        "/resumable/a",
        break_off,
        lambda channel, request: send_error(channel, request, error, framing),
    )
    assert body is None
    assert bytes(received) == BEGUN
    assert requests == [1, 1]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("error", ERRORS)
def test_error_does_not_get_into_a_stream_that_its_caller_takes_up(
    call, error, framing
):
    """The caller joined its text to the events that it had."""

    def fail(channel, request):
        send_error(channel, request, error, framing)

    def go_on(channel, request):
        first = int(request.headers["last-event-id"]) + 1
        fields = [*stamped(request.id), STREAM]
        channel.finish(with_length(200, events(first, 4), *fields))

    body, requests = call("/resumable/a", fail, go_on, Last_Event_Id=2)
    assert body in (None, events(3, 4))
    assert (body is None) == (error == "404")
    body, requests = call("/once/a", fail, go_on, Last_Event_Id=2)
    assert (body, requests) == (None, [1, 0])


def test_stream_that_is_taken_up_goes_on_with_the_next_event_only(call):
    """An engine that began again had its first events joined to those of the caller."""

    def begin_again(channel, request):
        fields = [*stamped(request.id), STREAM]
        channel.finish(with_length(200, events(1, 4), *fields))

    assert call("/once/a", begin_again, Last_Event_Id=2) == (None, [1])


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_error_of_the_next_engine_does_not_get_into_an_item(play, error, framing):
    resumed = []

    def answer(channel, request):
        if request.id != "item0":
            channel.finish(with_length(404, b"", *stamped(request.id)))
        elif not resumed and "last-event-id" not in request.headers:
            break_off(channel, request)
        elif not resumed:
            resumed.append(request)
            send_error(channel, request, error, framing)
        else:
            first = int(request.headers.get("last-event-id", 0)) + 1
            fields = [*stamped(request.id), STREAM]
            channel.finish(with_length(200, events(first, 4), *fields))

    async def scenario(deployment):
        add_raw_engine(deployment, answer)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        return await deployment.results(gateway, "job1", 1)

    (row,) = play(scenario)
    assert (row["state"], row["text"]) == ("completed", text(4))
    assert len(resumed) == 1


GLUED = {
    "head": b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
    "fields": b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad",
    "lines": b"HTTP/1.1 500 X\nContent-Length: 3\n\nbad",
}


@pytest.mark.parametrize("path", ["/resumable/a", "/once/a"])
@pytest.mark.parametrize("framing", ["length", "neither"])
@pytest.mark.parametrize("part", [b"id: 3\ndata: wo", b"id: 3\nda", b"id: 3\n"])
@pytest.mark.parametrize("glued", GLUED)
def test_error_response_within_a_stream_does_not_reach_the_caller(
    call, received, glued, part, framing, path
):
    """The head of the error was taken for the rest of the event that it cut off."""

    def answer(channel, request):
        fields = [*stamped(request.id), STREAM]
        if framing == "length":
            fields.append(b"Content-Length: 9999")
        channel.send(head(200, *fields) + BEGUN + part + GLUED[glued])
        channel.close()

    def go_on(channel, request):
        fields = [*stamped(request.id), STREAM]
        channel.finish(with_length(200, events(3, 4), *fields))

    body, requests = call(path, answer, go_on)
    if path == "/resumable/a":
        assert body == events(1, 4)
        assert requests == [1, 1]
    else:
        assert body is None
        assert bytes(received) == BEGUN
        assert requests == [1, 0]
