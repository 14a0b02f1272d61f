"""Learned speeds of engines, and placement by them, in virtual time."""

import math
from random import Random

import attrs
import pytest

from _capacity_fleet import ROUTE, CapacityFleet, SimEngine, record
from pomeloshift.capacity import CapacityTable, EngineMemory, LogLine, Slowdown
from pomeloshift.dispatch import (
    Engine,
    EngineLoad,
    PeerLoads,
    Placement,
    PlacementConfig,
    RequestCounts,
    Service,
    Split,
)
from pomeloshift.jobs import BatchSlots

ENGINES = 28


def constant(factor):
    return lambda now: factor


def between(start, end, factor):
    return lambda now: factor if start <= now < end else 1.0


def flapping(now):
    return 5.0 if int(now) % 2 else 1.0


def slow_and_flapping(**kwargs):
    """A quarter is five times slower from 3 to 9 s; three alternate each second."""
    slowdowns = [between(3.0, 9.0, 5.0)] * 7 + [flapping] * 3
    slowdowns += [constant(1.0)] * (ENGINES - len(slowdowns))
    return [SimEngine(record(n), s, **kwargs) for n, s in enumerate(slowdowns)]


def half_cold():
    return [
        SimEngine(record(n, cold_left_s=8.0), between(0.0, 8.0, 4.0))
        if n < ENGINES // 2
        else SimEngine(record(n), constant(1.0))
        for n in range(ENGINES)
    ]


def mixed():
    """Engines of 1 to 5 times the usual time, with knees at 3, 4 and 8 requests."""
    random = Random(5)
    return [
        SimEngine(
            record(n),
            constant(1 + 4 * random.random() ** 2),
            knee=random.choice([3, 4, 8]),
        )
        for n in range(ENGINES)
    ]


def good_share(sims, rate, gateways, view_s, is_learned, seed=1):
    fleet = CapacityFleet(seed, sims, gateways, view_s, is_learned)
    fleet.play(rate, until=10.0)
    return fleet.good_share()


@pytest.fixture
def table():
    return CapacityTable()


@pytest.fixture
def engine():
    return Engine(record(1))


def measure(capacity, factor, since, until, step_s=0.05):
    """Adds samples of an engine that takes 20 ms empty and 40 ms full."""
    for n in range(int((until - since) / step_s)):
        now = since + n * step_s
        occupancy = 1 + round(now / step_s) % 8
        capacity.note_start(occupancy, 8, factor * 0.02 * 2 ** (occupancy / 8), now)


def test_line_follows_level_and_slope_of_samples():
    line = LogLine(forget_s=60.0, max_weight=1000.0)
    for n in range(800):
        x = n % 8 / 8 - 0.5
        line.add(x, -3.0 + 0.7 * x, now=n * 0.01)
    level, slope = line.fit((0.0, 0.0), now=8.0)
    assert level == pytest.approx(-3.0, abs=0.05)
    assert slope == pytest.approx(0.7, abs=0.05)


def test_line_without_recent_samples_is_the_prior():
    line = LogLine(forget_s=1.0, max_weight=8.0)
    line.add(0.1, 5.0, now=0.0)
    assert line.fit((-3.0, 0.7), now=30.0) == pytest.approx((-3.0, 0.7))


@pytest.mark.parametrize("factor", [0.5, 2.0, 5.0])
def test_changed_speed_is_followed_within_two_seconds(table, engine, factor):
    capacity = table.of(engine)
    measure(capacity, 1.0, 0.0, 10.0)
    before = capacity.start_s(4, 8, now=10.0)
    measure(capacity, factor, 10.0, 12.0)
    assert capacity.start_s(4, 8, now=12.0) == pytest.approx(factor * before, rel=0.2)


def test_false_report_is_made_up_for_by_measured_times(table, engine):
    table.note_slowdown(engine, 1.0, now=0.0)
    measure(table.of(engine), 1.0, 0.0, 5.0)
    before = table.of(engine).start_s(4, 8, now=5.0)
    for n in range(20):
        table.note_slowdown(engine, 0.1, now=5.0 + n / 10)
        measure(table.of(engine), 1.0, 5.0 + n / 10, 5.1 + n / 10)
    after = table.of(engine).start_s(4, 8, now=7.0)
    assert after == pytest.approx(before, rel=0.3)


def test_gateway_that_joins_a_running_deployment_measures_first(engine):
    """Guards against placing by few measurements beside unknown requests."""
    table = CapacityTable(active_from=6.0)
    table.note_slowdown(engine, 5.0, now=1.0)
    assert not table.is_active(engine.record.service, now=5.9)
    assert table.is_active(engine.record.service, now=6.0)


def test_slowdown_counts_at_once_and_less_with_age():
    slowdown = Slowdown()
    for n in range(100):
        slowdown.note(1.0, now=n * 0.1)
    for n in range(5):
        slowdown.note(5.0, now=10.0 + n * 0.1)
    assert math.exp(slowdown.log_at(10.4)) == pytest.approx(5.0, rel=0.3)
    assert math.exp(slowdown.log_at(14.0)) < 1.3


def test_request_without_its_first_event_shows_that_an_engine_is_slow(table, engine):
    capacity = table.of(engine)
    measure(capacity, 1.0, 0.0, 5.0)
    before = capacity.start_s(1, 8, now=5.0)
    key = capacity.begin(expected_s=0.03, now=5.0)
    assert capacity.start_s(1, 8, now=5.3) > 4 * before
    capacity.end(key)
    assert capacity.start_s(1, 8, now=5.3) == pytest.approx(before, rel=0.2)


def test_cold_engine_is_slower_until_its_time_is_over(table):
    warm, cold = Engine(record(1)), Engine(record(2, cold_left_s=3.0))
    for engine in (warm, cold):
        table.note_record(engine.record, now=1.0)
    # The same record is read again: the time does not start anew.
    table.note_record(cold.record, now=3.0)
    assert table.is_active("lm", now=3.0)
    assert table.start_s(cold, 3.9) > 1.5 * table.start_s(warm, 3.9)
    assert table.start_s(cold, 4.1) == pytest.approx(table.start_s(warm, 4.1))


def test_new_incarnation_starts_without_evidence_of_the_last_one(table, engine):
    measure(table.of(engine), 5.0, 0.0, 5.0)
    before = table.start_s(engine, 5.0)
    engine.reported_incarnation = 2
    assert table.start_s(engine, 5.0) < before


def test_service_without_reports_is_not_active(table, engine):
    table.note_record(engine.record, now=1.0)
    assert not table.is_active("lm", now=1.0)
    table.note_slowdown(engine, 1.0, now=1.0)
    assert table.is_active("lm", now=1.0)
    table.is_enabled = False
    assert not table.is_active("lm", now=1.0)


def test_where_nothing_is_reported_requests_go_where_they_went_before():
    """Guards against a change of service on deployments without the figure."""
    fleets = []
    for is_learned in (False, True):
        sims = slow_and_flapping(reports=constant(None))
        fleets.append(CapacityFleet(1, sims, 3, 0.05, is_learned))
        fleets[-1].play(300.0, until=3.0)
    assert fleets[0].sent == fleets[1].sent
    assert fleets[0].outcomes == fleets[1].outcomes


@pytest.mark.parametrize(("gateways", "view_s"), [(1, 0.05), (26, 0.05), (300, 0.3)])
@pytest.mark.parametrize(
    ("sims", "rate"), [(slow_and_flapping, 600.0), (half_cold, 450.0), (mixed, 300.0)]
)
def test_streams_are_in_time_at_least_as_often_as_by_free_slots(
    sims, rate, gateways, view_s
):
    """Guards against a stampede to the engine that just looked fast, too."""
    today = good_share(sims(), rate, gateways, view_s, is_learned=False)
    learned = good_share(sims(), rate, gateways, view_s, is_learned=True)
    assert learned >= max(0.9, today - 0.01)


def test_gateways_that_restarted_together_serve_in_time():
    fleet = CapacityFleet(1, slow_and_flapping(), 26, 0.05)
    calls = [(5.0, lambda: fleet.restart_gateways(is_learned=True))]
    fleet.play(600.0, until=8.0, calls=calls)
    assert fleet.good_share(5.0, 7.0) >= 0.9


def test_engine_in_another_region_is_used_only_if_it_is_much_better(table):
    zones = ["a"] * 3 + ["b"] * 3 + ["c"] * 4
    engines = [
        Engine(attrs.evolve(record(n), zone=zone)) for n, zone in enumerate(zones)
    ]
    for engine in engines:
        table.note_slowdown(engine, 1.0, now=1.0)
    regions = {"a": "r1", "b": "r1", "c": "r2"}
    placement = Placement("a", regions, PlacementConfig(), Random(1), learned=table)
    chosen = {placement.choose(engines, now=1.0).record.zone for _ in range(200)}
    assert "c" not in chosen
    for engine in engines[:6]:
        engine.peers = RequestCounts(online=12)
    chosen = {placement.choose(engines, now=1.0).record.zone for _ in range(200)}
    assert chosen == {"c"}


def test_report_without_the_figure_changes_nothing(table, engine):
    engine.note_load(EngineLoad(1, 0, 8), now=1.0)
    assert not table.is_active("lm", now=1.0)


def test_engine_is_given_fewer_items_than_it_serves_in_time(table, engine):
    slots = BatchSlots("a", PeerLoads(), learned=table)
    table.note_slowdown(engine, 1.0, now=0.0)
    measure(table.of(engine), 1.0, 0.0, 5.0)
    assert table.max_requests(engine, 5.0) == slots.free(engine, 5.0) == 8
    measure(table.of(engine), 7.0, 5.0, 8.0)
    count = table.max_requests(engine, 8.0)
    assert 1 < count < 8
    assert slots.free(engine, 8.0) == count - 1
    measure(table.of(engine), 40.0, 8.0, 11.0)
    assert table.max_requests(engine, 11.0) == 0
    assert slots.free(engine, 11.0) == 1  # to see when it becomes faster
    engine.reserve_slot()
    assert slots.free(engine, 11.0) == 0


def test_objectives_of_the_routes_in_force_decide(table, engine):
    table.note_slowdown(engine, 1.0, now=0.0)
    measure(table.of(engine), 1.0, 0.0, 5.0)
    table.note_routes([attrs.evolve(ROUTE, splits=(Split("lm", 1.0),))])
    assert table.max_requests(engine, 5.0) == 8
    strict = attrs.evolve(ROUTE, splits=(Split("lm", 1.0),), objective_s=0.03)
    table.note_routes([strict])
    assert 0 < table.max_requests(engine, 5.0) < 8


def test_changed_speed_is_logged_once_and_measured(play):
    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        (engine,) = gateway.capacity_report.fleet.engines.values()
        table, report = gateway.capacity.table, gateway.capacity_report
        # As with the setting, at the first start of a deployment.
        table.is_enabled, table.active_from = True, float("-inf")
        table.note_slowdown(engine, 1.0, deployment.reactor.seconds())
        for slowdown in (1.0, 1.0, 3.0):
            for _ in range(20):
                now = deployment.reactor.seconds()
                table.note_slowdown(engine, slowdown, now)
            report.tick()
        decisions = gateway._metrics._metrics.get(
            "gateway_decisions_total", event="engine_speed_changed"
        )
        before = gateway._metrics.render(gateway)
        report.fleet.engines.clear()
        report.tick()
        return decisions, before, gateway._metrics.render(gateway), table.engines

    decisions, before, after, engines = play(scenario)
    assert decisions == 2
    assert b'gateway_learned_start_seconds{engine="' in before
    assert b'gateway_learned_start_seconds{engine="' not in after
    assert engines == {}


@pytest.fixture
def memory():
    memory = EngineMemory()
    memory.note_services([Service("lm", engine_tokens=10_000)])
    return memory


def test_requests_of_all_gateways_stay_within_the_memory(memory, engine):
    memory.note_request(1000, is_batch=False)
    engine.peers = RequestCounts(online=4)
    engine.reserve_slot(4000)
    assert memory.has_room(engine, 1000)
    assert not memory.has_room(engine, 1001)
    assert not memory.has_room(engine, 1000, is_batch=True)
    engine.release_slot(4000)
    assert memory.has_room(engine, 5000)
    engine.peers = RequestCounts()
    assert memory.has_room(engine, 10_000)
    assert not memory.has_room(engine, 10_001)


def test_memory_that_is_not_known_bounds_nothing(memory, engine):
    memory.note_services([Service("lm")])
    engine.peers = RequestCounts(online=40)
    assert memory.has_room(engine, 10**9)


def test_request_that_fits_no_engine_is_refused_as_not_run(play):
    """Guards against engines that crash because requests exceed their memory."""

    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        gateway.capacity.memory.note_services([Service("lm", engine_tokens=1000)])
        (known,) = gateway.capacity_report.fleet.engines.values()
        assert known.record.service == "lm"
        known.tokens, known.online = 800, 1
        headers = {"X-Token-Count": "100,24"}
        full = await deployment.call(gateway, "POST", "/once/a", **headers)
        known.tokens = 700
        fits = await deployment.call(gateway, "POST", "/once/a", **headers)
        return full.status, fits.status, known.tokens, len(engine.requests)

    assert play(scenario) == (503, 200, 700, 1)
