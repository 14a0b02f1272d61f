"""The operator changes batch routes that have accepted jobs."""

import msgspec
import pytest

from _gateway import config, job, route, text
from pomeloshift.gateway import _batch_api
from pomeloshift.http1 import Headers, RequestHead
from pomeloshift.jobs import _unrouted_items
from pomeloshift.standins.platform import Behaviour


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    """Items whose route has ended are given up soon."""
    monkeypatch.setattr(_unrouted_items, "UNROUTED_S", 0.1)


def job_at(*paths):
    """Returns the body of a job whose items have these paths."""
    document = msgspec.json.decode(job([b"body"] * len(paths)))
    for item, path in zip(document["items"], paths, strict=True):
        item["path"] = path
    return msgspec.json.encode(document)


async def submit(deployment, gateway, *paths):
    body = job_at(*paths)
    resp = await deployment.call(gateway, "POST", "/jobs/new", body, "job1")
    assert resp.status == 202


def split_route():
    parts = [route("jobs", pathPrefix=f"/jobs/{part}/", service=part) for part in "ab"]
    return config(2, [route("plain"), *parts])


async def finished(deployment, gateway):
    """Waits until a gateway knows a result of each item, and returns the results."""
    while True:
        known = gateway.job_log.table.jobs.get("job1")
        if known is not None and not known.is_open:
            return known.results
        await deployment.pause(0.02)


async def remove_route(deployment, gateways, *routes):
    """Puts a configuration without the jobs' route in force."""
    deployment.publish(config(2, routes or [route("plain")]))
    for gateway in gateways:
        while gateway.config.current.version < 2:
            await deployment.pause(0.01)


def states(rows):
    return {row["id"]: row["state"] for row in rows}


def test_items_that_wait_at_a_split_of_their_route_run_on_its_parts(play):
    """They reached no engine again and were never listed, for ever."""

    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "/jobs/a/0", "/jobs/b/1", "/jobs/2")
        deployment.publish(split_route())
        engines = {part: deployment.add_engine(service=part) for part in "ab"}
        rows = await deployment.results(gateway, "job1", 3)
        seen = {part: [s.path for s in engines[part].requests] for part in "ab"}
        return rows, seen

    rows, seen = play(scenario)
    assert states(rows) == {
        "item0": "completed",
        "item1": "completed",
        "item2": "dead_letter",
    }
    assert seen == {"a": ["/jobs/a/0"], "b": ["/jobs/b/1"]}


def test_items_that_wait_when_their_route_is_removed_are_given_up(play):
    """They were neither run nor given up, and counted against the cap for ever."""

    async def scenario(deployment):
        gateways = [await deployment.add_gateway() for _ in range(2)]
        await submit(deployment, gateways[0], "/jobs/0", "/jobs/1")
        await remove_route(deployment, gateways)
        deployment.add_engine()
        return [
            [r.state.value for r in await finished(deployment, gateway)]
            for gateway in gateways
        ]

    assert play(scenario) == [["dead", "dead"]] * 2


def test_items_wait_for_a_route_that_soon_returns(play, monkeypatch):
    monkeypatch.setattr(_unrouted_items, "UNROUTED_S", 60.0)

    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "/jobs/0")
        await remove_route(deployment, [gateway])
        deployment.add_engine()
        await deployment.pause(0.3)
        deployment.publish(config(3, [route("plain"), route("jobs")]))
        return await deployment.results(gateway, "job1", 1)

    assert [row["text"] for row in play(scenario)] == [text(4)]


def test_running_item_finishes_although_its_route_ends(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=8, event_gap_s=0.2)
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "/jobs/0")
        while not engine.running:
            await deployment.pause(0.01)
        await remove_route(deployment, [gateway])
        return [r.state.value for r in await finished(deployment, gateway)]

    assert play(scenario) == ["done"]


@pytest.fixture
def removed_route(play):
    """Plays a scenario that begins with a finished job whose route has been removed.

    The scenario gets the deployment, its gateways and the results as read before.
    """

    def run(scenario, *routes):
        async def whole(deployment):
            engine = deployment.add_engine()
            gateways = [await deployment.add_gateway() for _ in range(2)]
            await submit(deployment, gateways[0], "/jobs/0", "/jobs/1")
            rows = [await deployment.results(g, "job1", 2) for g in gateways]
            await remove_route(deployment, gateways, *routes)
            requests = len(engine.requests)
            outcome = await scenario(deployment, gateways, rows[0])
            assert len(engine.requests) == requests
            return outcome

        return play(whole)

    return run


# The second is an online route whose prefix covers the paths of the batch calls.
@pytest.mark.parametrize("routes", [(), (route("plain", pathPrefix="/"),)])
def test_results_are_read_after_the_removal_of_their_route(removed_route, routes):
    """Each read got 404 although the results had been read before."""

    async def scenario(deployment, gateways, rows):
        return [
            await deployment.call(gateway, "GET", "/api/lots/job1?after=0")
            for gateway in gateways
        ], rows

    responses, rows = removed_route(scenario, *routes)
    assert [resp.status for resp in responses] == [200, 200]
    assert all(msgspec.json.decode(r.body)["results"] == rows for r in responses)


def test_gateway_that_starts_after_the_removal_of_a_route_serves_its_jobs(
    removed_route,
):
    async def scenario(deployment, gateways, rows):
        gateway = await deployment.add_gateway()
        resp = await deployment.call(gateway, "GET", "/api/lots/job1?after=0")
        return msgspec.json.decode(resp.body)["results"] == rows

    assert removed_route(scenario)


def test_job_is_accepted_again_and_ended_after_the_removal_of_its_route(removed_route):
    """A caller that had missed the 202 was told by 404 that there is no such job."""

    async def scenario(deployment, gateways, rows):
        body = job_at("/jobs/0", "/jobs/1")
        calls = [("POST", "/jobs/new", body), ("DELETE", "/api/lots/job1", b"")]
        return [
            (await deployment.call(gateway, *call, request_id="job1")).status
            for gateway in gateways
            for call in calls
        ]

    assert removed_route(scenario) == [202, 200, 202, 200]


def test_body_of_an_item_is_read_after_the_removal_of_its_route(play):
    async def scenario(deployment):
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "/jobs/0")
        await remove_route(deployment, [gateway])
        return await deployment.call(gateway, "GET", "/api/items/job1?id=item0")

    resp = play(scenario)
    assert (resp.status, resp.body) == (200, b"body")


def test_calls_that_concern_no_job_of_the_host_are_not_found_without_a_route(
    removed_route,
):
    async def scenario(deployment, gateways, rows):
        calls = [
            ("GET", "/api/lots/job9?after=0", "r1", "app.example"),
            ("GET", "/api/lots/job1?after=0", "r1", "other.example"),
            ("POST", "/jobs/new", "job9", "app.example"),
            ("POST", "/jobs/other", "job1", "app.example"),
        ]
        return [await status(deployment, gateways[0], *call) for call in calls]

    async def status(deployment, gateway, method, target, request_id, host):
        fields = [(b"Host", host.encode()), (b"X-Request-Id", request_id.encode())]
        head = RequestHead(method.encode(), target.encode(), Headers(fields))
        resp = await deployment.client.call(gateway.caller_address, head, b"", 20.0)
        return resp.status

    assert removed_route(scenario) == [404] * 4


def test_unknown_job_of_a_removed_route_is_not_found_only_if_the_log_is_readable(
    removed_route, monkeypatch
):
    monkeypatch.setattr(_batch_api, "RESULTS_MAX_AGE_S", -1.0)

    async def scenario(deployment, gateways, rows):
        deployment.store.is_busy = True
        while gateways[0].job_log.follower.is_reachable:
            await deployment.pause(0.02)
        targets = ["/api/lots/job9?after=0", "/api/lots/job1?after=0"]
        return [
            (await deployment.call(gateways[0], "GET", target)).status
            for target in targets
        ]

    assert removed_route(scenario) == [503, 200]
