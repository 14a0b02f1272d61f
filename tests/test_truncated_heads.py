"""Engines that stop in the middle of a response's head and close."""

import pytest

from _gateway import events, text
from _raw_engine import FRAMINGS, add_raw_engine, stamped, with_length

BODY = {"/plain/a": b"whole", "/unsafe/a": b"whole"}
CUTS = ["status", "status-line", "field", "length", "blank-line"]


def response(path, request_id, framing="length"):
    fields = stamped(request_id)
    if path not in BODY:
        fields.append(b"Content-Type: text/event-stream")
    return FRAMINGS[framing](200, BODY.get(path, events(1, 4)), *fields)


def cut_head(data, cut):
    """Returns the first part of a response's head."""
    head = data[: data.index(b"\r\n\r\n") + 4]
    fields = head.index(b"\r\n") + 2
    ends = {
        "status": 11,
        "status-line": fields,
        "field": fields + 9,
        "length": len(head) - 5,
        "blank-line": len(head) - 2,
    }
    return head[: ends[cut]]


def stop(channel, data, is_reset):
    channel.send(data)
    if is_reset:
        delay_s = 0.01
        channel.engine._raw_reactor.callLater(
            delay_s, channel.transport.abortConnection
        )
    else:
        channel.close()


@pytest.fixture
def serve(play):
    """Plays a scenario with a gateway and an engine that answers as given."""

    def run(answer, scenario):
        async def whole(deployment):
            add_raw_engine(deployment, answer)
            return await scenario(deployment, await deployment.add_gateway())

        return play(whole)

    return run


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("is_reset", [False, True])
def test_response_whose_head_is_cut_off_is_not_a_success(
    serve, path, framing, cut, is_kept, is_reset
):
    """Callers of other systems got a 200 with an empty body, framed as whole."""

    def answer(channel, request):
        whole = response(path, request.id, framing)
        if request.id == "r0":
            channel.finish(response(path, request.id))
        else:
            stop(channel, cut_head(whole, cut), is_reset)

    async def scenario(deployment, gateway):
        if is_kept:
            await deployment.call(gateway, "POST", path, request_id="r0")
        resp = await deployment.call(gateway, "POST", path, request_id="r1")
        return resp.status, resp.body

    assert serve(answer, scenario) == (502, b"")


@pytest.mark.parametrize("path", ["/plain/a", "/resumable/a"])
@pytest.mark.parametrize("cut", CUTS)
def test_repeatable_request_whose_responses_head_is_cut_off_runs_elsewhere(
    serve, path, cut
):
    def answer(channel, request):
        stop(channel, cut_head(response(path, request.id), cut), False)

    async def scenario(deployment, gateway):
        def answer_whole(channel, request):
            channel.finish(response(path, request.id))

        add_raw_engine(deployment, answer_whole, zone="b")
        while gateway.count_engines()["serving"] < 2:
            await deployment.pause(0.01)
        return await deployment.call(gateway, "POST", path)

    resp = serve(answer, scenario)
    assert (resp.status, resp.body) == (200, BODY.get(path, events(1, 4)))


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("cut", CUTS)
def test_item_whose_responses_head_is_cut_off_runs_again(serve, framing, cut):
    runs = []

    def answer(channel, request):
        runs.append(request.id)
        fields = [*stamped(request.id), b"Content-Type: text/event-stream"]
        if len(runs) == 1:
            whole = FRAMINGS[framing](200, events(1, 4), *fields)
            stop(channel, cut_head(whole, cut), False)
        else:
            channel.finish(with_length(200, events(1, 4), *fields))

    async def scenario(deployment, gateway):
        await deployment.submit(gateway, "job1", [b"one"])
        return await deployment.results(gateway, "job1", 1)

    (row,) = serve(answer, scenario)
    assert (row["state"], row["text"]) == ("completed", text(4))
    assert runs == ["item0", "item0"]
