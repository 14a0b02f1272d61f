"""The operator changes batch routes that have accepted jobs."""

import msgspec
import pytest

from _gateway import config, job, route, text
from pomeloshift.jobs import _unrouted_items


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
    jobs = gateway.job_log.table.jobs
    while "job1" not in jobs or jobs["job1"].is_open:
        await deployment.pause(0.02)
    return jobs["job1"].results


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
        deployment.publish(config(2, [route("plain")]))
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
        deployment.publish(config(2, [route("plain")]))
        while gateway.config.current.version < 2:
            await deployment.pause(0.01)
        deployment.add_engine()
        await deployment.pause(0.3)
        deployment.publish(config(3, [route("plain"), route("jobs")]))
        return await deployment.results(gateway, "job1", 1)

    assert [row["text"] for row in play(scenario)] == [text(4)]


def test_running_item_finishes_although_its_route_ends(play):
    async def scenario(deployment):
        engine = deployment.add_engine()
        engine.behaviour = engine.behaviour.__class__(events=8, event_gap_s=0.2)
        gateway = await deployment.add_gateway()
        await submit(deployment, gateway, "/jobs/0")
        while not engine.running:
            await deployment.pause(0.01)
        deployment.publish(config(2, [route("plain")]))
        return [r.state.value for r in await finished(deployment, gateway)]

    assert play(scenario) == ["done"]
