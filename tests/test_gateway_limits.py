"""Engines that name the rate of requests that they take from all gateways together."""

import pytest
from loguru import logger

from _gateway import ROUTES, config, events, job, route, text
from pomeloshift.standins.platform import Behaviour

LIMIT = 0.5  # requests a second
# What the platform allows an engine to get in any four seconds.
MAX_REQUESTS = 1.5 * 4 * LIMIT + 5
REQUESTS = 40


@pytest.fixture
def add_limited():
    """Adds an engine with a limit, and two gateways that it has answered."""

    async def add_limited(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(limit=LIMIT)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for number, gateway in enumerate(gateways):
            await deployment.call(gateway, "POST", "/plain/a", b"x", f"first{number}")
        return engine, gateways

    return add_limited


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_engine_does_not_get_more_requests_than_the_limit_it_named(
    play, add_limited, path
):
    async def scenario(deployment):
        engine, gateways = await add_limited(deployment)
        deployment.add_engine()
        await deployment.pause(0.2)
        before, statuses = len(engine.requests), []
        for number in range(REQUESTS):
            gateway = gateways[number % 2]
            resp = await deployment.call(gateway, "POST", path, b"x", f"r{number}")
            statuses.append(resp.status)
        return len(engine.requests) - before, statuses

    requests, statuses = play(scenario)
    assert requests <= MAX_REQUESTS
    assert statuses == [200] * REQUESTS


def test_batch_items_do_not_exceed_the_limit_that_an_engine_named(play, add_limited):
    async def scenario(deployment):
        engine, gateways = await add_limited(deployment)
        other = deployment.add_engine()
        await deployment.pause(0.2)
        before = len(engine.requests)
        await deployment.submit(gateways[0], "job1", [b"x"] * REQUESTS, tokens=1)
        rows = await deployment.results(gateways[0], "job1", REQUESTS)
        return len(engine.requests) - before, rows, len(other.requests)

    requests, rows, _ = play(scenario)
    assert requests <= MAX_REQUESTS
    assert [row["text"] for row in rows] == [text(4)] * REQUESTS


def test_gateway_keeps_a_limit_that_only_its_peer_has_received(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(limit=LIMIT)
        first, second = [await deployment.add_gateway() for _ in range(2)]
        await deployment.call(first, "POST", "/plain/a", b"x", "first")
        known = second.batch_loop.access.fleet.engines[engine.id]
        while known.limit is None:
            await deployment.pause(0.02)
        deployment.add_engine()
        await deployment.pause(0.2)
        before = len(engine.requests)
        for number in range(REQUESTS):
            await deployment.call(second, "POST", "/plain/a", b"x", f"r{number}")
        return len(engine.requests) - before

    assert play(scenario) <= MAX_REQUESTS


def test_engine_is_fully_used_again_once_it_names_no_limit(play, add_limited):
    async def scenario(deployment):
        engine, gateways = await add_limited(deployment)
        engine.behaviour = Behaviour()
        while any(
            gateway.batch_loop.access.fleet.engines[engine.id].limit
            for gateway in gateways
        ):
            await deployment.call(gateways[0], "POST", "/plain/a", b"x", "again")
            await deployment.pause(0.05)
        return [
            await deployment.call(gateways[1], "POST", "/plain/a", b"x", f"r{number}")
            for number in range(REQUESTS)
        ]

    assert [resp.status for resp in play(scenario)] == [200] * REQUESTS


def test_request_is_refused_at_once_if_all_limits_are_reached(play, add_limited):
    lines = []

    async def scenario(deployment):
        _, gateways = await add_limited(deployment)
        deployment.publish(config(2, [route("plain", targetLatencyMs=100)]))
        await deployment.pause(0.3)
        return [
            await deployment.call(gateways[0], "POST", "/plain/a", b"x", f"r{number}")
            for number in range(3)
        ]

    handler = logger.add(lines.append, format="{message}")
    try:
        responses = play(scenario)
    finally:
        logger.remove(handler)
    refused = [resp for resp in responses if resp.status == 503]
    assert len(refused) >= 2
    assert all(float(resp.headers.text(b"retry-after")) > 0 for resp in refused)
    assert any("event=limits_reached id=r2 " in line for line in lines)


def test_stream_that_was_cut_waits_for_the_limit_of_another_engine(play):
    async def scenario(deployment):
        cut = deployment.add_engine()
        cut.behaviour = Behaviour(reset_after_events=2)
        limited = deployment.add_engine(zone="farther")
        limited.behaviour = Behaviour(limit=2.0)
        gateway = await deployment.add_gateway()
        engine = gateway.batch_loop.access.fleet.engines[limited.id]
        now = gateway.batch_loop.access.now()
        engine.note_limit(2.0, now, now)
        return await deployment.call(gateway, "POST", "/resumable/a", b"x", "r")

    assert play(scenario).body == events(1, 4)


def test_late_item_is_not_stopped_at_an_engine_whose_limit_is_reached(
    play, add_limited
):
    async def scenario(deployment):
        routes = [
            route("plain"),
            route("jobs", runDeadlineMs=1),
            route("soon", **{**ROUTES["jobs"], "runDeadlineMs": 60_000}),
        ]
        deployment.publish(config(2, routes))
        engine, gateways = await add_limited(deployment)
        engine.behaviour = Behaviour(limit=LIMIT, events=1000, event_gap_s=0.05)
        await deployment.submit(gateways[0], "late", [b"late"])
        before = len(engine.requests)
        while len(engine.requests) == before:
            await deployment.pause(0.05)
        path = "/soon/new"
        await deployment.call(gateways[0], "POST", path, job([b"soon"]), "soon")
        await deployment.pause(1.0)
        return engine.aborted

    assert play(scenario) == 0


def test_rejection_without_a_limit_does_not_end_it(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(limit=50.0)
        gateway = await deployment.add_gateway()
        await deployment.call(gateway, "POST", "/plain/a", b"x", "first")
        engine.behaviour = Behaviour(is_full=True)
        await deployment.call(gateway, "POST", "/plain/a", b"x", "rejected")
        limit = gateway.batch_loop.access.fleet.engines[engine.id].limit
        return [seen.id for seen in engine.requests], limit

    requests, limit = play(scenario)
    assert requests == ["first", "rejected"]
    assert limit is not None
