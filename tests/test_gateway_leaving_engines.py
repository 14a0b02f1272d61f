"""Engines that say in their responses that they are leaving."""

import pytest

from _gateway import text
from pomeloshift.standins.platform import Behaviour

LEAVING = Behaviour(is_leaving=True)
PATHS = ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"]
REQUESTS = 20


@pytest.fixture
def leave():
    """Adds an engine that leaves and a gateway that has passed on its response.

    The store does not respond from then on, unless ``is_silent`` is false.
    """

    async def leave(deployment, path="/plain/a", is_silent=True):
        engine = deployment.add_engine()
        engine.behaviour = LEAVING
        gateway = await deployment.add_gateway()
        deployment.add_engine(zone="farther")
        await deployment.pause(0.3)
        deployment.store.is_silent = is_silent
        await send(deployment, gateway, path, "first")
        assert [seen.id for seen in engine.requests] == ["first"]
        return engine, gateway

    return leave


def send(deployment, gateway, path, request_id):
    return deployment.call(gateway, "POST", path, b"x", request_id)


@pytest.mark.parametrize("path", PATHS)
def test_engine_that_said_that_it_leaves_gets_no_more_requests(play, leave, path):
    async def scenario(deployment):
        engine, gateway = await leave(deployment, path)
        responses = [
            await send(deployment, gateway, path, f"r{number}")
            for number in range(REQUESTS)
        ]
        return [resp.status for resp in responses], len(engine.requests)

    assert play(scenario) == ([200] * REQUESTS, 1)


def test_engine_that_rejects_a_request_because_it_leaves_gets_no_more(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(is_leaving=True, is_full=True)
        gateway = await deployment.add_gateway()
        deployment.add_engine(zone="farther")
        await deployment.pause(0.3)
        for number in range(REQUESTS):
            await send(deployment, gateway, "/plain/a", f"r{number}")
            await deployment.pause(0.02)
        return len(engine.requests)

    assert play(scenario) == 1


def test_engine_that_said_that_it_leaves_gets_no_items(play, leave):
    async def scenario(deployment):
        engine, gateway = await leave(deployment, is_silent=False)
        await deployment.submit(gateway, "job1", [b"x"] * REQUESTS, tokens=1)
        rows = await deployment.results(gateway, "job1", REQUESTS)
        return [row["text"] for row in rows], len(engine.requests)

    assert play(scenario) == ([text(4)] * REQUESTS, 1)


@pytest.mark.parametrize("is_removed", [False, True])
def test_engine_that_leaves_gets_no_requests_when_its_record_comes_again(
    play, leave, is_removed
):
    async def scenario(deployment):
        engine, gateway = await leave(deployment, is_silent=False)
        if is_removed:
            deployment.deregister(engine)
        deployment.register(engine, seq=2, slots=9)
        await deployment.pause(0.3)
        for number in range(REQUESTS):
            await send(deployment, gateway, "/plain/a", f"r{number}")
        return len(engine.requests)

    assert play(scenario) == 1


def test_engine_that_started_again_after_it_left_is_used(play, leave):
    async def scenario(deployment):
        engine, gateway = await leave(deployment, is_silent=False)
        engine.behaviour = Behaviour()
        engine.born = 2
        deployment.register(engine)
        await deployment.pause(0.3)
        for number in range(REQUESTS):
            await send(deployment, gateway, "/plain/a", f"r{number}")
        return len(engine.requests)

    assert play(scenario) > 1
