"""Engines whose responses have a status that HTTP does not have."""

import pytest

from _gateway import events, text
from _raw_engine import FRAMINGS, add_raw_engine, stamped, with_length
from pomeloshift.http1 import ConnectionBrokenError

STREAM = b"Content-Type: text/event-stream"
STATUSES = [b"000", b"001", b"099", b"600", b"777", b"999"]


def answer_with(status, framing):
    """Returns an engine's answer: the events of a stream, with a status."""

    def answer(channel, request):
        fields = [*stamped(request.id), STREAM]
        data = FRAMINGS[framing](200, events(1, 4), *fields)
        channel.end(data.replace(b"HTTP/1.1 200", b"HTTP/1.1 " + status, 1))

    return answer


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_response_with_an_unknown_status_does_not_reach_the_caller(
    play, status, framing, path
):
    """The caller got it as the response, with the status 000 (MIXED)."""

    async def scenario(deployment):
        add_raw_engine(deployment, answer_with(status, framing))
        gateway = await deployment.add_gateway()
        while not gateway.count_engines()["serving"]:
            await deployment.pause(0.01)
        try:
            resp = await deployment.call(gateway, "POST", path)
        except ConnectionBrokenError:
            return None
        return resp.status, resp.headers.get(b"x-response-stamp")

    assert play(scenario) in (None, (502, None), (504, None))


@pytest.mark.parametrize("status", STATUSES)
def test_item_with_an_unknown_status_runs_again(play, status):
    async def scenario(deployment):
        runs = []

        def answer(channel, request):
            runs.append(request)
            if len(runs) == 1:
                answer_with(status, "length")(channel, request)
            else:
                fields = [*stamped(request.id), STREAM]
                channel.finish(with_length(200, events(1, 4), *fields))

        add_raw_engine(deployment, answer)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"one"])
        (row,) = await deployment.results(gateway, "job1", 1)
        return row["state"], row["text"], len(runs)

    assert play(scenario) == ("completed", text(4), 2)
