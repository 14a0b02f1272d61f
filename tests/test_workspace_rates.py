"""The rate limit of a workspace, kept by gateways that hear of each other late."""

import heapq
import itertools
from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloshift.dispatch import RequestCounters, Workspace
from pomeloshift.gateway._timing import (
    ALL_LIMITS_S,
    PEER_HEARTBEAT_S,
    PEER_TICK_S,
    RATE_HEARD_S,
    RATE_RECENT_S,
)
from pomeloshift.limits import TokenBucket
from pomeloshift.workspaces import Rates, RateSettings, SharedRate

WINDOW_S, OVERRUN, SLACK = 5.0, 0.1, 20.0
SETTINGS = RateSettings(WINDOW_S, OVERRUN, SLACK)
FULL_TICKS = round(ALL_LIMITS_S / PEER_TICK_S)


def bound(workspace):
    allowed = workspace.rate_per_s * WINDOW_S + workspace.burst
    return allowed * (1 + OVERRUN) + SLACK


@attrs.define
class Node:
    """One gateway: its process, and when it heard the others."""

    rates: Rates
    name: str
    region: int
    heard_at: dict = attrs.field(factory=dict)
    reported: dict = attrs.field(factory=dict)
    changed_at: dict = attrs.field(factory=dict)
    ticks: int = 0
    sent_at: float = -1.0


@attrs.define
class Network:
    """Latencies of heartbeats in seconds; shares that are lost, doubled and late."""

    zone_s: tuple = (0.0005, 0.005)
    region_s: tuple = (0.02, 0.03)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 1.0


class Gateways:
    """Gateways in virtual time, each with the demand that ``arrivals`` gives it.

    ``demand`` returns the requests a second of one gateway at a time, at most ``most``.
    ``reaches`` tells whether a heartbeat from one gateway to another gets through.
    """

    def __init__(self, count, workspace, demand, most, seed=1, network=None, **options):
        self.random = Random(seed)
        self.workspace, self.demand, self.most = workspace, demand, most
        self.network = network or Network()
        self.reaches = options.get("reaches", lambda now, sender, receiver: True)
        self.settings = options.get("settings", SETTINGS)
        self.now = options.get("start_s", 0.0)
        self.events, self.order = [], itertools.count()
        self.sent_at, self.refused_at, self.asked_at = [], [], []
        self.nodes = [self.new_node(n, 0) for n in range(count)]
        for number in range(count):
            self.later(self.random.uniform(0, PEER_TICK_S), self.tick, number)
            self.later(self.random.expovariate(most), self.arrive, number)

    def new_node(self, number, run):
        rates = Rates(self.settings, self.now)
        rates.apply([self.workspace], self.now)
        return Node(rates, f"{number}.{run}", number % 2)

    def restart(self, number, run=1):
        self.nodes[number] = self.new_node(number, run)

    def later(self, delay_s, function, *args):
        event = (self.now + delay_s, next(self.order), function, args)
        heapq.heappush(self.events, event)

    def run_until(self, end_s):
        while self.events[0][0] < end_s:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = end_s
        return self

    def update_share(self, node):
        count = len(self.nodes)
        heard = sum(self.now - at <= RATE_HEARD_S for at in node.heard_at.values())
        since = self.now - RATE_HEARD_S
        node.rates.set_share((1 + heard) / count, self.now, since)

    def arrive(self, number):
        self.later(self.random.expovariate(self.most), self.arrive, number)
        demand = self.demand(self.now, number)
        assert demand <= 1.001 * self.most
        if self.random.random() < demand / self.most:
            self.request(number)

    def request(self, number, is_return=False):
        node = self.nodes[number]
        self.update_share(node)
        decision = node.rates.check(self.workspace, self.now)
        self.asked_at.append(self.now)
        if decision.is_allowed:
            node.rates.take(self.workspace, self.now)
            self.sent_at.append(self.now)
            return
        self.refused_at.append(self.now)
        after_s = node.rates.refuse(self.workspace, self.now)
        if not is_return and after_s <= 8.0 / 3:
            self.later(after_s + 0.001, self.request, number, True)

    def tick(self, number):
        self.later(PEER_TICK_S, self.tick, number)
        node = self.nodes[number]
        node.ticks += 1
        self.update_share(node)
        counters = node.rates.counters
        has_changed = counters != node.reported
        for name, counts in counters.items():
            if node.reported.get(name) != counts:
                node.changed_at[name] = self.now
        node.reported = counters
        is_full = node.ticks % FULL_TICKS == 0
        if has_changed or is_full or self.now - node.sent_at >= PEER_HEARTBEAT_S:
            node.sent_at = self.now
            self.send(
                number,
                node,
                {
                    name: counts
                    for name, counts in counters.items()
                    if is_full or self.now - node.changed_at[name] <= RATE_RECENT_S
                },
            )

    def send(self, number, node, counters):
        network, chance = self.network, self.random.random
        for receiver, other in enumerate(self.nodes):
            if receiver == number or not self.reaches(self.now, number, receiver):
                continue
            for _ in range(2 if chance() < network.doubled else 1):
                if chance() < network.lost:
                    continue
                same = node.region == other.region
                delay_s = self.random.uniform(
                    *(network.zone_s if same else network.region_s)
                )
                if chance() < network.late:
                    delay_s += self.random.uniform(0, network.late_s)
                sent = (node.name, self.now - node.rates.started_at, counters)
                self.later(delay_s, self.hear, receiver, number, *sent)

    def hear(self, receiver, sender, name, age_s, counters):
        node = self.nodes[receiver]
        node.heard_at[sender] = self.now
        node.rates.note_peer(name, age_s, counters, self.now)

    def most_in_a_window(self):
        times, first, most = sorted(self.sent_at), 0, 0
        for number, at in enumerate(times):
            while at - times[first] > WINDOW_S:
                first += 1
            most = max(most, number - first + 1)
        return most


def ideal(fleet):
    """Returns when one account that knows all requests would have admitted them."""
    workspace = fleet.workspace
    bucket = TokenBucket(
        workspace.rate_per_s, workspace.burst, level=0.0, filled_at=0.0
    )
    return [at for at in fleet.asked_at if bucket.take(at) == 0]


def between(times, first, last):
    return sum(first <= at < last for at in times)


def square_wave(mean, count):
    """The demand of one of ``count`` gateways: 1.84 of the mean for 2.8 of 6.6 s."""
    low = (6.6 - 1.84 * 2.8) / 3.8

    def demand(now, number):
        return mean / count * (1.84 if now % 6.6 < 2.8 else low)

    return demand


def of_rate(rate, burst_s=2.0):
    return Workspace("w", rate_per_s=rate, burst=max(2.0, burst_s * rate))


@pytest.mark.parametrize("count", [3, 40])
@pytest.mark.parametrize("rate", [3.2, 16.0, 64.0])
def test_requests_under_the_limit_are_not_refused(count, rate):
    workspace, mean = of_rate(rate), rate / 1.6
    demand = square_wave(mean, count)
    fleet = Gateways(count, workspace, demand, 1.84 * mean / count, seed=3)
    fleet.run_until(40.0)
    over = len(fleet.asked_at) - len(ideal(fleet))
    assert len(fleet.refused_at) <= over + 0.003 * len(fleet.asked_at)


@pytest.mark.parametrize(
    ("count", "rate", "seed"),
    [(n, r, s) for n in (3, 40) for r in (0.8, 10.0, 64.0) for s in (1, 2)]
    + [(300, 64.0, 1)],
)
def test_flood_stays_within_the_limit_and_uses_it(count, rate, seed):
    workspace, mean = of_rate(rate), rate / 1.6

    def demand(now, number):
        return (7.0 if 4.0 <= now < 10.0 else 1.0) * mean / count

    fleet = Gateways(count, workspace, demand, 7.0 * mean / count, seed)
    fleet.run_until(8.0 if count > 40 else 12.0)
    assert fleet.most_in_a_window() <= bound(workspace)
    # From the start on: what was overdrawn before the flood is missing in it.
    until = min(fleet.now, 10.0)
    assert between(fleet.sent_at, 0, until) >= 0.9 * between(ideal(fleet), 0, until)


@given(
    rate=st.floats(0.5, 64.0),
    count=st.integers(2, 24),
    lost=st.floats(0.0, 0.3),
    late=st.floats(0.0, 0.2),
    isolated=st.lists(st.booleans(), min_size=24, max_size=24),
    hears=st.booleans(),
    is_heard=st.booleans(),
    restarts=st.lists(st.tuples(st.integers(0, 23), st.floats(5.0, 12.0)), max_size=6),
    seed=st.integers(0, 1000),
)
@settings(max_examples=60)
def test_limit_holds_in_each_window_whatever_happens_to_heartbeats(
    rate, count, lost, late, isolated, hears, is_heard, restarts, seed
):
    workspace, mean = of_rate(rate), rate / 1.6

    def reaches(now, sender, receiver):
        if not 7.0 <= now < 11.0 or isolated[sender] == isolated[receiver]:
            return True
        return is_heard if isolated[sender] else hears

    def demand(now, number):
        return (6.0 if 6.0 <= now < 12.0 else 1.0) * mean / count

    network = Network(lost=lost, doubled=0.1, late=late)
    most = 6.0 * mean / count
    fleet = Gateways(count, workspace, demand, most, seed, network, reaches=reaches)
    for run, (number, at) in enumerate(restarts):
        fleet.later(at, fleet.restart, number % count, run + 1)
    fleet.run_until(15.0)
    assert fleet.most_in_a_window() <= bound(workspace)


@pytest.mark.parametrize("rate", [1.6, 16.0])
def test_restart_of_all_gateways_keeps_the_limit_and_serves_soon_after(rate):
    count, workspace, mean = 40, of_rate(rate), rate / 1.6

    def demand(now, number):
        return (5.0 if 6.0 <= now < 9.0 else 0.5) * mean / count

    fleet = Gateways(count, workspace, demand, 5.0 * mean / count)
    for number in range(count):
        fleet.later(8.0, fleet.restart, number)
    fleet.run_until(12.0)
    assert fleet.most_in_a_window() <= bound(workspace)
    fleet.run_until(20.0)
    assert between(fleet.refused_at, 12.0, 20.0) <= 0.01 * len(fleet.asked_at)


def test_isolated_gateway_spends_its_share_only():
    workspace = of_rate(40.0)
    fleet = Gateways(
        10,
        workspace,
        lambda now, n: 40.0 if n == 0 else 0.0,
        40.0,
        reaches=lambda now, sender, receiver: now < 10.0,
    )
    fleet.run_until(25.0)
    late = sum(at > 15.0 for at in fleet.sent_at)
    share = 40.0 * 10.0 / 10
    assert 0.9 * share <= late <= 1.1 * share + 1


def account(**changes):
    fields = {"rate": 2.0, "burst": 4.0, "reserve": 10.0, "balance": 4.0, "now": 0.0}
    made = SharedRate(**{**fields, **changes})
    made.set_share(1.0, 0.0)
    return made


def test_process_that_starts_has_no_allowance_before_it_knows_its_share():
    rates = Rates(SETTINGS, 0.0)
    workspace = of_rate(2.0)
    rates.apply([workspace], 0.0)
    assert not rates.check(workspace, 9.0).is_allowed
    rates.set_share(1.0, 9.0)
    assert rates.check(workspace, 9.0).is_allowed


def test_first_start_of_a_deployment_has_the_burst():
    rates = Rates(attrs.evolve(SETTINGS, is_first_start=True), 0.0)
    workspace = of_rate(2.0)
    rates.apply([workspace], 0.0)
    rates.set_share(1.0, 0.0)
    assert rates.check(workspace, 0.0).balance == workspace.burst


def test_workspace_without_a_rate_is_not_limited():
    rates = Rates(SETTINGS, 0.0)
    workspace = Workspace("w")
    rates.apply([workspace], 0.0)
    assert rates.check(workspace, 0.0).is_allowed


def test_changed_limit_is_in_force_at_once_in_both_directions():
    rates, workspace = Rates(SETTINGS, 0.0), of_rate(8.0)
    rates.apply([workspace], 0.0)
    rates.set_share(1.0, 0.0)
    assert rates.check(workspace, 60.0).balance == 16.0
    lower = attrs.evolve(workspace, rate_per_s=1.0, burst=2.0)
    rates.apply([lower], 60.0)
    assert rates.check(lower, 60.0).balance == 2.0
    rates.apply([workspace], 60.0)
    assert rates.check(workspace, 61.0).balance == 10.0
    rates.apply([attrs.evolve(workspace, rate_per_s=0.0)], 61.0)
    assert rates.check(workspace, 61.0).is_allowed


def test_reports_count_once_however_often_and_late_they_arrive():
    made = account()
    for counts in [(2, 0, 0), (3, 1, 0), (3, 1, 0), (2, 0, 0)]:
        made.note_peer("p", RequestCounters(*counts), False, 0.0)
    assert made.check(0.0).balance == 2.0


def test_request_that_has_not_run_is_credited_here_and_elsewhere():
    rates, other = Rates(SETTINGS, 0.0), account()
    workspace = of_rate(2.0)
    rates.apply([workspace], 0.0)
    rates.set_share(1.0, 0.0)
    rates.take(workspace, 0.0)
    rates.put_back(workspace, 0.0)
    rates.put_back(workspace, 0.0)  # no more than was taken
    assert rates.counters == {"w": (1, 1, 0)}
    assert rates.check(workspace, 0.0).balance == 0.0
    other.note_peer("p", rates.counters["w"], False, 0.0)
    assert other.check(0.0).balance == 4.0


def test_what_was_sent_since_gateways_were_cut_off_is_charged_to_the_smaller_share():
    made = account(rate=0.0)
    made.take(0.5)
    made.take(2.0)
    made.set_share(0.5, 2.0, since=1.0)
    assert made.check(2.0).balance == 0.5  # half of the 3 that both knew of, less 1


def test_gateway_that_comes_back_brings_its_part_of_the_balance():
    made = account()
    made.set_share(0.5, 0.0)
    assert made.check(0.0).balance == 2.0
    made.note_peer("p", RequestCounters(3, 0, 0), False, 1.0)
    made.set_share(1.0, 1.0)
    assert made.check(1.0).balance == pytest.approx(3.0)


def test_workspace_with_a_small_burst_is_served_while_a_gateway_is_missing():
    made = account(burst=1.0, reserve=0.0, balance=0.0)
    made.set_share(0.9, 0.0)
    assert made.check(5.0).is_allowed


def test_refused_callers_return_one_after_the_other_at_all_gateways():
    made = account(balance=0.0)
    waits = [made.refuse(0.0) for _ in range(4)]
    assert waits == pytest.approx([0.5, 1.0, 1.5, 2.0])
    other = account(balance=0.0)
    other.note_peer("p", RequestCounters(0, 0, made.refused), False, 0.0)
    assert other.refuse(0.0) == pytest.approx(2.5)
