"""Engines that send bytes without end."""

import pytest

from _gateway import config, events, route, text
from pomeloshift.gateway import _item_run as item_module
from pomeloshift.gateway import _online as online_module
from pomeloshift.http1 import ConnectionBrokenError
from pomeloshift.standins.platform import Behaviour

TIMEOUT_MS = 400
GARBAGE = [
    pytest.param(b"\x00garbage" * 4096, id="no-line"),
    pytest.param(b"data: a\n" * 4096, id="one-event"),
    pytest.param(b"a", id="drip"),
    pytest.param(b": ping\n\n", id="comments"),
    pytest.param(b"data: a\n\n" * 4096, id="no-ids"),
]


@pytest.fixture
def start(monkeypatch):
    """Starts a gateway whose engines, the nearest first, behave as given."""
    monkeypatch.setattr(online_module, "STALL_S", 0.4)

    async def start(deployment, *behaviours, **changes):
        for zone, behaviour in zip("ab", behaviours, strict=False):
            deployment.add_engine(zone=zone).behaviour = behaviour
        changes = {"targetLatencyMs": 200, **changes}
        names = ("resumable", "once", "plain")
        deployment.publish(config(2, [route(name, **changes) for name in names]))
        return await deployment.add_gateway()

    return start


def requests_of(deployment):
    return [len(engine.requests) for engine in deployment.engines]


@pytest.mark.parametrize("garbage", GARBAGE)
@pytest.mark.parametrize("good", [0, 2])
def test_stream_with_garbage_without_end_goes_on_at_another_engine(
    play, start, garbage, good
):
    async def scenario(deployment):
        bad = Behaviour(endless=garbage, endless_after=good)
        gateway = await start(deployment, bad, Behaviour())
        resp = await deployment.call(gateway, "POST", "/resumable/a")
        other = deployment.engines[1].requests[0].headers
        return resp, other.get("last-event-id", "0"), requests_of(deployment)

    resp, resumed_after, requests = play(scenario)
    assert resp.status == 200
    assert resp.body == events(1, 4)
    assert resumed_after == str(good)
    assert requests == [1, 1]


@pytest.mark.parametrize("garbage", GARBAGE)
def test_stream_that_may_not_be_resumed_is_cut_at_garbage_without_end(
    play, start, garbage
):
    async def scenario(deployment):
        bad = Behaviour(endless=garbage, endless_after=2)
        gateway = await start(deployment, bad, bad, timeoutMs=TIMEOUT_MS)
        with pytest.raises(ConnectionBrokenError):
            await deployment.call(gateway, "POST", "/once/a")
        return requests_of(deployment)

    assert play(scenario) == [1, 0]


@pytest.mark.parametrize("garbage", GARBAGE)
def test_request_with_garbage_for_its_first_event_gets_a_failure(play, start, garbage):
    async def scenario(deployment):
        bad = Behaviour(endless=garbage)
        gateway = await start(deployment, bad, bad, timeoutMs=TIMEOUT_MS)
        resp = await deployment.call(gateway, "POST", "/once/a")
        return resp.status, requests_of(deployment)

    status, requests = play(scenario)
    assert status in (502, 504)
    assert requests == [1, 0]


@pytest.mark.parametrize("path", ["/plain/a", "/once/a"])
def test_response_without_end_is_cut_at_the_deadline(play, start, path):
    async def scenario(deployment):
        unending = Behaviour(events=1_000_000, event_gap_s=0.0)
        if path == "/plain/a":
            unending = Behaviour(endless=b"a" * 65536)
        gateway = await start(deployment, unending, timeoutMs=TIMEOUT_MS)
        with pytest.raises(ConnectionBrokenError):
            await deployment.call(gateway, "POST", path)
        while deployment.engines[0].aborted == 0:
            await deployment.pause(0.01)
        return requests_of(deployment)

    assert play(scenario) == [1]


def test_slow_body_without_end_gets_a_failure_at_the_deadline(play, start):
    async def scenario(deployment):
        drip = Behaviour(endless=b"a", event_gap_s=0.01)
        gateway = await start(deployment, drip, timeoutMs=TIMEOUT_MS)
        return await deployment.call(gateway, "POST", "/plain/a")

    assert play(scenario).status == 504


async def run_items(deployment, bad):
    """Runs items at an engine that behaves as given and at a healthy one."""
    for behaviour in (bad, Behaviour()):
        deployment.add_engine().behaviour = behaviour
    gateway = await deployment.add_gateway()
    await deployment.submit(gateway, "job1", [b"body"] * 4)
    results = await deployment.results(gateway, "job1", 4)
    assert deployment.engines[0].requests
    assert deployment.engines[0].running == 0
    return [(result["state"], result["text"]) for result in results]


@pytest.mark.parametrize("garbage", GARBAGE)
def test_item_with_garbage_without_end_goes_on_at_another_engine(
    play, monkeypatch, garbage
):
    monkeypatch.setattr(item_module, "BATCH_STALL_S", 0.4)

    async def scenario(deployment):
        bad = Behaviour(endless=garbage, endless_after=2)
        return await run_items(deployment, bad)

    assert play(scenario) == [("completed", text(4))] * 4


def test_item_whose_output_exceeds_the_limit_runs_again_from_its_start(
    play, monkeypatch
):
    monkeypatch.setattr(item_module, "MAX_OUTPUT_BYTES", 1024)

    async def scenario(deployment):
        return await run_items(deployment, Behaviour(events=1000, event_gap_s=0.0))

    assert play(scenario) == [("completed", text(4))] * 4


def test_item_with_bytes_that_are_no_text_does_not_end_the_job(play):
    async def scenario(deployment):
        bad = Behaviour(endless=b"id: 1\ndata: \xff\n\n")
        return await run_items(deployment, bad)

    assert play(scenario) == [("completed", text(4))] * 4
