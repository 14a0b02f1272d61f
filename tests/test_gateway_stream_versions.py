"""Streams and items at engines of several software versions of one service."""

import pytest
from twisted.internet.defer import Deferred

from _gateway import SERVICE, config, events, route, text
from pomeloshift.http1 import ConnectionBrokenError
from pomeloshift.standins.platform import Behaviour

CUT = Behaviour(reset_after_events=2)
PATH = "/resumable/a"


@pytest.fixture
def begin():
    """Begins a stream that its engine cuts after two events."""

    async def begin(deployment, gateway, request_id="began"):
        with pytest.raises(ConnectionBrokenError):
            await deployment.call(gateway, "POST", PATH, b"x", request_id)

    return begin


@pytest.fixture
def take_up():
    """Takes a stream up after its second event, as its caller does."""

    async def take_up(deployment, gateway, request_id="again", resumes="began"):
        return await deployment.call(
            gateway, "POST", PATH, b"x", request_id, Resumes=resumes, Last_Event_Id=2
        )

    return take_up


def resumed(engine):
    """The ids of the requests that an engine got in order to go on with a stream."""
    return [seen.id for seen in engine.requests if "last-event-id" in seen.headers]


def add_cutting(deployment, version, **fields):
    engine = deployment.add_engine(version=version, **fields)
    engine.behaviour = CUT
    return engine


async def restart_all(deployment):
    """Kills all gateways and starts as many; returns the new ones."""
    old = list(deployment.gateways)
    for gateway in old:
        await gateway.stop()
    deployment.gateways.clear()
    return [await deployment.add_gateway() for _ in old]


def test_stream_is_not_resumed_at_another_version_within_one_response(play, begin):
    async def scenario(deployment):
        add_cutting(deployment, "v1")
        other = deployment.add_engine(version="v2", zone="farther")
        gateway = await deployment.add_gateway()
        await begin(deployment, gateway)
        return len(other.requests)

    assert play(scenario) == 0


def test_stream_is_resumed_at_its_own_version_within_one_response(play):
    async def scenario(deployment):
        add_cutting(deployment, "v1")
        other = deployment.add_engine(version="v2", zone="farther")
        same = deployment.add_engine(version="v1", zone="farther")
        gateway = await deployment.add_gateway()
        resp = await deployment.call(gateway, "POST", PATH, b"x", "r1")
        return resp.body, resumed(same), resumed(other)

    assert play(scenario) == (events(1, 4), ["r1"], [])


@pytest.mark.parametrize("killed", ["none", "all"])
def test_taken_up_stream_does_not_go_on_at_another_version(
    play, begin, take_up, killed
):
    async def scenario(deployment):
        old = add_cutting(deployment, "v1")
        gateways = [await deployment.add_gateway() for _ in range(2)]
        other = deployment.add_engine(version="v2")
        await deployment.pause(0.2)
        other.behaviour = Behaviour(is_full=True)
        await begin(deployment, gateways[0])
        other.behaviour = Behaviour()
        await deployment.pause(0.2)
        deployment.deregister(old)
        if killed == "all":
            gateways = await restart_all(deployment)
        await deployment.pause(0.2)
        resp = await take_up(deployment, gateways[1])
        return resp.status, resumed(other)

    assert play(scenario) == (503, [])


@pytest.mark.parametrize("killed", ["none", "all"])
def test_taken_up_stream_goes_on_at_its_own_version(play, begin, take_up, killed):
    async def scenario(deployment):
        old = add_cutting(deployment, "v1")
        gateways = [await deployment.add_gateway() for _ in range(2)]
        other = deployment.add_engine(version="v2")
        other.behaviour = Behaviour(is_full=True)
        await deployment.pause(0.2)
        await begin(deployment, gateways[0])
        other.behaviour = Behaviour()
        old.behaviour = Behaviour()
        await deployment.pause(0.2)
        if killed == "all":
            gateways = await restart_all(deployment)
        resp = await take_up(deployment, gateways[1])
        return resp.status, resp.body, resumed(old), resumed(other)

    assert play(scenario) == (200, events(3, 4), ["again"], [])


@pytest.mark.parametrize("has_left", [False, True])
def test_taken_up_stream_of_unknown_version_is_refused_if_two_versions_served(
    play, take_up, has_left
):
    async def scenario(deployment):
        old = deployment.add_engine(version="v1")
        gateways = [await deployment.add_gateway()]
        new = deployment.add_engine(version="v2")
        while len(gateways[0].streams.counting({SERVICE})) < 2:
            await deployment.pause(0.02)
        if has_left:
            deployment.deregister(old)
        gateways = await restart_all(deployment)
        resp = await take_up(deployment, gateways[0], resumes="lost")
        return resp.status, resumed(old) + resumed(new)

    assert play(scenario) == (503, [])


def test_taken_up_stream_goes_on_without_a_record_if_one_version_serves(play, take_up):
    async def scenario(deployment):
        deployment.add_engine(version="v1")
        await deployment.add_gateway()
        (gateway,) = await restart_all(deployment)
        return (await take_up(deployment, gateway)).body

    assert play(scenario) == events(3, 4)


def test_item_is_not_resumed_at_another_version(play):
    async def scenario(deployment):
        old = deployment.add_engine(version="v1")
        old.behaviour = Behaviour(events=1000, event_gap_s=0.02)
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"])
        while not old.running:
            await deployment.pause(0.02)
        await deployment.pause(0.2)
        new = deployment.add_engine(version="v2")
        old.behaviour = Behaviour(is_full=True)
        await deployment.pause(0.1)
        gateway.batch_loop.hand_off()
        rows = await deployment.results(gateway, "job1", 1)
        return rows[0]["text"], resumed(new)

    assert play(scenario) == (text(4), [])


def test_item_whose_version_always_rejects_it_is_started_again_elsewhere(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"])
        await deployment.store_progress(gateway, "job1", events=2, version="v1")
        full = deployment.add_engine(version="v1")
        full.behaviour = Behaviour(is_full=True)
        deployment.add_engine(version="v2")
        (row,) = await deployment.results(gateway, "job1", 1)
        return row["text"]

    assert play(scenario) == text(4)


def test_item_is_resumed_at_its_own_version(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"])
        await deployment.store_progress(gateway, "job1", events=2, version="v2")
        others = [deployment.add_engine(version="v1") for _ in range(3)]
        same = deployment.add_engine(version="v2")
        (row,) = await deployment.results(gateway, "job1", 1)
        return row["text"], resumed(same), [resumed(each) for each in others]

    assert play(scenario) == (text(4), ["item0"], [[]] * 3)


@pytest.mark.parametrize("version", ["v1", ""])
def test_item_starts_again_if_the_version_of_its_progress_left_or_is_unknown(
    play, version
):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"x"])
        await deployment.store_progress(gateway, "job1", events=2, version=version)
        new = deployment.add_engine(version="v2")
        (row,) = await deployment.results(gateway, "job1", 1)
        return row["text"], resumed(new)

    assert play(scenario) == (text(4), [])


@pytest.mark.parametrize("path", [PATH, "/jobs/new"])
def test_engine_that_came_back_at_another_version_gets_no_resume(play, take_up, path):
    """Its record, which still names the version of before, is late."""

    async def scenario(deployment):
        engine = deployment.add_engine(version="v1")
        gateway = await deployment.add_gateway()
        await deployment.pause(0.1)
        engine.born = 2
        if path == PATH:
            return (await take_up(deployment, gateway)).status, resumed(engine)
        await deployment.submit(gateway, "job1", [b"x"])
        await deployment.store_progress(gateway, "job1", events=2, version="v1")
        await deployment.pause(1.0)
        return 503, resumed(engine)

    assert play(scenario) == (503, [])


def test_taken_up_stream_is_not_refused_as_late_like_a_new_one(play, take_up):
    async def scenario(deployment):
        engine = deployment.add_engine(version="v1")
        engine.behaviour = Behaviour(events=200, event_gap_s=0.02)
        deployment.publish(config(2, [route("resumable", targetLatencyMs=100)]))
        gateway = await deployment.add_gateway()
        for number in range(8):
            call = deployment.call(gateway, "POST", PATH, b"%d" % number, f"r{number}")
            # The end of the deployment cuts it.
            Deferred.fromCoroutine(call).addErrback(lambda failure: None)
        while engine.running < 8:
            await deployment.pause(0.01)
        new = await deployment.call(gateway, "POST", PATH, b"new", "new")
        engine.behaviour = Behaviour()
        again = await take_up(deployment, gateway)
        return new.status, again.status

    assert play(scenario) == (503, 200)
