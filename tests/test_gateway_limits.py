"""Engines that name the rate of requests that they take from all gateways together."""

import pytest

from _gateway import text
from pomeloshift.standins.platform import Behaviour

LIMIT = 0.5  # requests a second
# What the platform allows an engine to get in any four seconds.
MAX_REQUESTS = 1.5 * 4 * LIMIT + 5
REQUESTS = 40


@pytest.fixture
def told():
    """Adds an engine with a limit and two gateways that have been told it."""

    async def told(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(limit=LIMIT)
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for number, gateway in enumerate(gateways):
            await deployment.call(gateway, "POST", "/plain/a", b"x", f"told{number}")
        return engine, gateways

    return told


@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_engine_does_not_get_more_requests_than_the_limit_it_named(play, told, path):
    async def scenario(deployment):
        engine, gateways = await told(deployment)
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


def test_batch_items_do_not_exceed_the_limit_that_an_engine_named(play, told):
    async def scenario(deployment):
        engine, gateways = await told(deployment)
        other = deployment.add_engine()
        await deployment.pause(0.2)
        before = len(engine.requests)
        await deployment.submit(gateways[0], "job1", [b"x"] * REQUESTS, tokens=1)
        rows = await deployment.results(gateways[0], "job1", REQUESTS)
        return len(engine.requests) - before, rows, len(other.requests)

    requests, rows, _ = play(scenario)
    assert requests <= MAX_REQUESTS
    assert [row["text"] for row in rows] == [text(4)] * REQUESTS
