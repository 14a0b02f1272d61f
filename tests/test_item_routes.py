import attrs
import pytest

from pomeloshift.dispatch import ConfigHolder, Route, RouteKind, ServingConfig, Split
from pomeloshift.jobs import (
    UNROUTED_S,
    BlobRef,
    CapRoom,
    ItemRoutes,
    JobSubmitted,
    JobTable,
    UnroutedItems,
    WorkQueue,
    encode_record,
    split,
)

HOST = "h"


def make_route(path_prefix, kind=RouteKind.BATCH, host=HOST):
    splits = (Split(f"engines of {path_prefix}", 1.0),)
    return Route(path_prefix, host, path_prefix, kind, splits, 8.0, 2.0)


@pytest.fixture
def holder():
    return ConfigHolder()


@pytest.fixture
def routes(holder):
    return ItemRoutes(holder)


@pytest.fixture
def publish(holder):
    """Puts a configuration with these routes in force."""

    def publish(*rows):
        version = holder.current.version if holder.current else 0
        holder.offer(ServingConfig(version + 1, rows))

    return publish


@pytest.fixture
def table():
    return JobTable()


@pytest.fixture
def accept(table):
    """Accepts a job of the route /p/ whose items have these paths."""

    def accept(*paths, tokens=10):
        ref = BlobRef("blob", 0, 10, 1)
        rows = [(f"i{n}", path, [], ref, tokens) for n, path in enumerate(paths)]
        record = JobSubmitted("j1", f"{HOST}/p/", HOST, "/p/new", 100.0, rows)
        for key, value in split("j1/w/0", encode_record(record), 4096):
            table.apply(table.next_offset, key, value, 1.0, 100.0)
        return table.jobs["j1"]

    return accept


@pytest.mark.parametrize(
    ("prefixes", "expected"),
    [
        (["/p/"], ["/p/", "/p/", "/p/"]),
        (["/p/", "/p/a/"], ["/p/a/", "/p/", "/p/"]),
        (["/p/a/", "/p/b/"], ["/p/a/", "/p/b/", None]),
        (["/q/"], [None, None, None]),
        (["/"], ["/", "/", "/"]),
        ([], [None, None, None]),
    ],
)
def test_item_runs_on_the_route_that_its_path_selects(
    routes, publish, accept, prefixes, expected
):
    job = accept("/p/a/1", "/p/b/2", "/p/3")
    publish(*(make_route(prefix) for prefix in prefixes))
    found = [routes.of(job, index) for index in range(3)]
    assert [route and route.path_prefix for route in found] == expected
    queues = [routes.queue_of(job, index) for index in range(3)]
    assert queues == [prefix and f"{HOST}{prefix}" for prefix in expected]


def test_items_run_on_no_route_of_another_kind_or_host(routes, publish, accept):
    job = accept("/p/a/1")
    publish(make_route("/p/", RouteKind.STREAMING), make_route("/p/", host="other"))
    assert routes.of(job, 0) is None
    publish(make_route("/p/"), make_route("/p/a/", RouteKind.STREAMING))
    assert routes.of(job, 0).path_prefix == "/p/"


def test_item_outside_its_jobs_route_runs_where_the_job_would(routes, publish, accept):
    job = accept("/elsewhere/1")
    publish(make_route("/p/"), make_route("/elsewhere/"))
    assert routes.of(job, 0).path_prefix == "/p/"
    publish(make_route("/p/new"), make_route("/elsewhere/"))
    assert routes.of(job, 0).path_prefix == "/p/new"


def test_cap_counts_the_items_that_a_split_moved_to_the_route(
    routes, publish, accept, table
):
    """The log's sum of the new queue lacks them, so gateways could exceed the cap."""
    accept("/p/a/1", "/p/b/2", tokens=10)
    split_off = attrs.evolve(make_route("/p/a/"), queue_token_cap=30)
    publish(split_off, make_route("/p/"))
    room = CapRoom.of(table, routes, split_off, "")
    assert (room.accepted, room.moved, room.record_cap) == (0, 10, 20)
    assert room.fits(20)
    assert not room.fits(21)
    uncapped = CapRoom.of(table, routes, make_route("/p/"), "")
    assert uncapped.record_cap == 0
    assert uncapped.fits(10**9)


def test_waiting_tokens_count_on_the_routes_of_a_split(routes, publish, accept, table):
    """A split route's caps did not count the items that it took over."""
    accept("/p/a/1", "/p/a/2", "/p/b/3", "/p/4", tokens=10)
    publish(make_route("/p/"))
    assert table.waiting_tokens("h/p/", routes) == 40
    publish(make_route("/p/a/"), make_route("/p/b/"))
    assert table.waiting_tokens("h/p/a/", routes) == 20
    assert table.waiting_tokens("h/p/b/", routes) == 10
    assert table.waiting_tokens("h/p/", routes) == 0


def test_queue_offers_items_on_their_present_routes(routes, publish, accept, table):
    """Waiting items of an accepted job never ran again after a split of its route."""
    accept("/p/a/1", "/p/b/2", "/p/3")
    publish(make_route("/p/a/"), make_route("/p/b/"))
    queue = WorkQueue(salt=5, is_claimed=lambda claim: False, queue_of=routes.queue_of)
    due_after_s = {"h/p/a/": 20.0, "h/p/b/": 10.0}
    work = queue.pending(table, due_after_s, 1.0, event_s=0.02, run_s=4.0)
    assert [(one.index, one.due) for one in work] == [(1, 11.0), (0, 21.0)]


def test_item_is_given_up_once_its_route_is_confirmed_to_have_ended():
    unrouted = UnroutedItems()
    unrouted.update([("j1", 1), ("j1", 0)], now=10.0)
    unrouted.update([("j1", 1), ("j1", 0), ("j1", 2)], now=11.0)
    assert unrouted.ended(confirmed_at=10.0 + UNROUTED_S - 0.1) == []
    assert unrouted.ended(confirmed_at=10.0 + UNROUTED_S) == [("j1", 0), ("j1", 1)]


def test_item_whose_route_returns_in_time_is_not_given_up():
    unrouted = UnroutedItems()
    unrouted.update([("j1", 0)], now=10.0)
    unrouted.update([], now=12.0)
    unrouted.update([("j1", 0)], now=13.0)
    assert unrouted.ended(confirmed_at=10.0 + UNROUTED_S) == []


def test_outdated_configuration_gives_up_no_item():
    """Another entry accepted the job under a version that this one has not read."""
    unrouted = UnroutedItems()
    unrouted.update([("j1", 0)], now=10.0)
    unrouted.update([("j1", 0)], now=10.0 + 10 * UNROUTED_S)
    assert unrouted.ended(confirmed_at=9.0) == []
