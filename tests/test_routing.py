from collections import Counter
from random import Random

import attrs
import pytest

from pomeloshift.config import LinkConfig
from pomeloshift.model import (
    Instance,
    InstanceRole,
    InstanceState,
    LoadReport,
    Priority,
)
from pomeloshift.model import Place as At
from pomeloshift.routing import RouteQuery, Router, RouterConfig
from pomeloshift.wire import SidecarReport

HOME = At("r1", "z1")
QUERY = RouteQuery("m", Priority.ONLINE, 100, 100, 30.0, first_token_s=0.7)


def server(name, zone="z1", region="r1", **fields):
    role = InstanceRole.BACKEND_SERVER
    return Instance(name, role, At(region, zone), "h:1", service="m", **fields)


def report(instance, online_tokens=0, sequence=1, incarnation=1, **fields):
    load = LoadReport(
        online_streams=4,
        online_tokens=online_tokens,
        itl_s=0.03,
        capacity_tokens=10_000,
    )
    return SidecarReport(instance, incarnation, sequence, 0, load, **fields)


@pytest.fixture
def make_router():
    def make(*reports, now=0.0, **settings):
        router = Router(RouterConfig(name="e1", **settings), HOME, Random(1))
        for each in reports:
            router.observe_report(each, now)
        return router

    return make


def chosen(router, query=QUERY, now=0.1, count=50):
    routes = [router.choose(query, now) for _ in range(count)]
    return Counter(route.instance.name if route else None for route in routes)


def test_zone_is_preferred_then_region_then_other_regions(make_router):
    near, far, remote = server("a"), server("b", "z2"), server("c", "z9", "r2")
    router = make_router(report(near), report(far), report(remote))
    assert set(chosen(router)) == {"a"}
    router.mark_leaving("a")
    assert set(chosen(router)) == {"b"}
    router.mark_leaving("b")
    route = router.choose(QUERY, 0.2)
    assert (route.instance.name, route.crosses_region) == ("c", True)


def test_zone_spills_to_a_less_loaded_zone_of_the_region(make_router):
    router = make_router(report(server("a"), 8_000), report(server("b", "z2"), 1_000))
    assert set(chosen(router)) == {"b"}


def test_other_region_is_used_only_when_the_local_wait_is_too_long(make_router):
    remote = report(server("c", "z9", "r2"))
    assert set(chosen(make_router(report(server("a"), 10_050), remote))) == {"a"}
    assert set(chosen(make_router(report(server("a"), 20_000), remote))) == {"c"}


def test_inter_region_link_has_a_byte_budget_for_each_priority(make_router):
    router = make_router(
        report(server("a"), 50_000),
        report(server("c", "z9", "r2")),
        link_burst_s=1.0,
    )
    router.apply_link(LinkConfig(1000.0, online_share=1.0, batch_share=0.0))
    query = attrs.evolve(QUERY, body_bytes=300)
    routes = [router.choose(query, 0.0) for _ in range(20)]
    assert sum(route.crosses_region for route in routes) == 3
    assert sum(router.choose(query, 1.0).crosses_region for _ in range(20)) == 3
    batch = attrs.evolve(query, priority=Priority.BATCH, deadline_s=0.1)
    assert not router.choose(batch, 9.0).crosses_region


def test_entries_of_a_region_divide_the_link_budget(make_router):
    router = make_router(report(server("a"), 50_000), link_burst_s=1.0)
    router.apply_link(LinkConfig(1200.0, online_share=1.0))
    remote = server("c", "z9", "r2")
    entries = [Instance(f"e{n}", InstanceRole.ENTRY, HOME, "") for n in range(2)]
    far = Instance("e9", InstanceRole.ENTRY, At("r2", "z9"), "")
    router.observe_instances([server("a"), remote, far, *entries], 0.0)
    router.observe_report(report(remote), 0.0)
    query = attrs.evolve(QUERY, body_bytes=300)
    assert sum(router.choose(query, 0.0).crosses_region for _ in range(20)) == 2


@pytest.mark.parametrize("field", ["draining", "engine_alive"])
def test_server_that_reports_draining_or_a_dead_engine_is_not_used(make_router, field):
    router = make_router(report(server("a")), report(server("b")))
    router.observe_report(
        report(server("a"), sequence=2, **{field: field == "draining"}), 0.1
    )
    assert set(chosen(router)) == {"b"}


def test_leaving_server_is_used_again_only_after_a_restart(make_router):
    router = make_router(report(server("a")), report(server("b")))
    router.observe_report(report(server("a"), sequence=3, draining=True), 0.1)
    router.observe_report(report(server("a"), sequence=2), 0.2)
    router.observe_instances([server("a"), server("b")], 0.3)
    assert set(chosen(router, now=0.4)) == {"b"}
    router.observe_report(report(server("a"), incarnation=2, sequence=1), 0.5)
    assert set(chosen(router, now=0.6)) == {"a", "b"}


def test_leaving_servers_of_the_list_are_not_used_and_missing_ones_removed(make_router):
    router = make_router(report(server("a")), report(server("b")))
    leaving = server("a", state=InstanceState.LEAVING)
    router.observe_instances([leaving, server("b")], 0.1)
    assert set(chosen(router)) == {"b"}
    router.observe_instances([], 10.0)
    assert router.choose(QUERY, 10.0) is None


def test_unresponsive_server_is_used_only_if_there_is_no_other(make_router):
    router = make_router(report(server("a")), report(server("b")))
    router.observe_report(report(server("b"), sequence=2), 3.0)
    assert set(chosen(router, now=3.1)) == {"b"}
    assert set(chosen(router, now=99.0)) == {"a", "b"}


def test_listed_servers_are_used_before_their_first_report(make_router):
    router = make_router()
    router.observe_instances([server("a"), server("b")], 0.0)
    assert set(chosen(router)) == {"a", "b"}


def test_failed_connections_are_followed_by_exponential_backoff(make_router):
    router = make_router(
        report(server("a")), report(server("b")), unresponsive_after_s=100.0
    )
    router.mark_failed("a", 0.0)
    assert set(chosen(router, now=0.9)) == {"b"}
    assert set(chosen(router, now=1.1)) == {"a", "b"}
    router.mark_failed("a", 1.2)
    assert set(chosen(router, now=3.1)) == {"b"}
    router.mark_responsive("a")
    assert set(chosen(router, now=3.2)) == {"a", "b"}


def test_equal_prefixes_share_a_server_until_its_load_exceeds_the_mean(make_router):
    servers = [server(name) for name in "abcdef"]
    router = make_router(*map(report, servers))
    query = attrs.evolve(QUERY, prefix="p")
    (home,) = chosen(router, query)
    router.started(home, 4_000)
    (second,) = chosen(router, query)
    assert second != home
    router.started(second, 4_000)
    rest = chosen(router, query, count=60)
    assert rest[home] + rest[second] <= 12
    prefixes = [attrs.evolve(QUERY, prefix=str(n)) for n in range(60)]
    homes = {router.choose(each, 0.2).instance.name for each in prefixes}
    assert len(homes) >= 4


def test_stale_report_does_not_attract_all_requests_to_one_server(make_router):
    idle, *busy = [server(name) for name in "abcd"]
    router = make_router(report(idle), *(report(each, 4_000) for each in busy))
    for _ in range(40):
        name = router.choose(QUERY, 1.5).instance.name
        router.started(name, 200)
    counts = chosen(router, now=1.5)
    assert max(counts.values()) <= 30


def test_late_report_does_not_hide_requests_sent_after_it_was_made(make_router):
    def made_at(name, tokens, sequence, made_at_s):
        full = report(server(name), tokens, sequence=sequence)
        load = attrs.evolve(full.load, made_at_s=made_at_s)
        return attrs.evolve(full, load=load)

    router = make_router(made_at("a", 0, 1, 1000.0), made_at("b", 0, 1, 1000.0))
    router.choose(QUERY, 1.0)
    router.started("a", 3_000)
    router.observe_report(made_at("a", 0, 2, 1000.5), 2.0)
    router.observe_report(made_at("b", 0, 2, 1000.5), 2.0)
    assert set(chosen(router, now=2.0)) == {"b"}
    router.finished("a", 3_000)
    assert set(chosen(router, now=2.0)) == {"a", "b"}


def test_own_tokens_are_not_counted_twice_once_reported(make_router):
    router = make_router(report(server("a")), report(server("b")))
    router.choose(QUERY, 1.0)
    router.started("a", 3_000)
    assert set(chosen(router, now=1.0)) == {"b"}
    router.observe_report(report(server("b"), 3_000, sequence=2), 2.0)
    router.observe_report(report(server("a"), 3_000, sequence=2), 2.0)
    assert set(chosen(router, now=2.0)) == {"a", "b"}
    router.finished("a", 3_000)
    assert set(chosen(router, now=2.0)) == {"a"}


def test_subset_is_bounded_differs_by_entry_and_is_stable(make_router):
    fleet = [server(f"s{n}") for n in range(200)]

    def used(name, instances):
        cfg = RouterConfig(name=name, zone_subset=24)
        router = Router(cfg, HOME, Random(1))
        router.observe_instances(instances, 0.0)
        return set(chosen(router, count=1000))

    first, second = used("e1", fleet), used("e2", fleet)
    assert len(first) == len(second) == 24
    assert first != second
    assert len(first & used("e1", fleet[1:])) >= 23


def test_excluded_servers_and_other_services_are_not_chosen(make_router):
    router = make_router(report(server("a")), report(server("b")))
    query = attrs.evolve(QUERY, excluded=frozenset({"a"}))
    assert set(chosen(router, query)) == {"b"}
    assert router.choose(attrs.evolve(QUERY, service="x"), 0.2) is None
    assert router.knows_service("m") and not router.knows_service("x")
