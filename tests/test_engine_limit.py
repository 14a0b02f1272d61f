"""The limit of an engine, kept by several entries that hear of each other late."""

import heapq
import itertools
from random import Random

import pytest

from pomeloshift.dispatch import Engine, EngineLimit, EngineRecord, LimitReport
from pomeloshift.http1 import Headers
from pomeloshift.jobs import Ownership
from pomeloshift.platform import decode_limit_header

# The platform's bound on the requests in a window.
WINDOW_S, FACTOR, ALLOWANCE = 4.0, 1.5, 5
LENGTH_S = 30.0
# The latency of a heartbeat, which is sent at most 30 ms after a change.
HEARTBEAT_S = (0.02, 0.1)


class Entries:
    """Entries that send to one engine whenever its limit allows it."""

    def __init__(self, count, rate, seed, demand):
        self.random = Random(seed)
        self.demand = demand  # requests a second at each entry
        self.limits = [EngineLimit(rate, 0.0) for _ in range(count)]
        self.sent_at = []
        self.events = []
        self.order = itertools.count()
        for entry in range(count):
            self.later(0.0, self.report, entry)
            self.later(0.0, self.arrive, entry)
        while self.events and self.events[0][0] < LENGTH_S:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    now = 0.0

    def later(self, delay_s, function, *args):
        event = (self.now + delay_s, next(self.order), function, args)
        heapq.heappush(self.events, event)

    def arrive(self, entry):
        self.later(self.random.expovariate(self.demand), self.arrive, entry)
        limit = self.limits[entry]
        if limit.wait_s(entry, self.now) > 0:
            return
        limit.charge(self.now)
        self.sent_at.append(self.now)
        self.report(entry)

    def report(self, entry):
        for peer, other in enumerate(self.limits):
            if peer != entry:
                delay_s = self.random.uniform(*HEARTBEAT_S)
                sent = self.limits[entry].sent
                self.later(delay_s, self.hear, other, entry, sent)

    def hear(self, limit, peer, sent):
        limit.note_peer(str(peer), sent, self.now)

    def most_in_a_window(self):
        counts = (
            sum(first <= at < first + WINDOW_S for at in self.sent_at[number:])
            for number, first in enumerate(self.sent_at)
        )
        return max(counts, default=0)


@pytest.mark.parametrize("rate", [0.0, 0.5, 2.6, 12.0])
@pytest.mark.parametrize("count", [1, 6, 34])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("demand", [0.2, 20.0])
def test_entries_together_keep_the_limit_of_an_engine(rate, count, seed, demand):
    entries = Entries(count, rate, seed, demand)
    assert entries.most_in_a_window() <= FACTOR * WINDOW_S * rate + ALLOWANCE
    if demand * count >= 10 * rate:
        assert len(entries.sent_at) >= 0.75 * rate * LENGTH_S


@pytest.fixture
def engine():
    return Engine(EngineRecord("e1", "lm", "10.0.0.1:1", "a", 8, False, 7))


def test_limit_ends_with_a_response_without_it(engine):
    engine.note_limit(2.0, 1.0, 1.0)
    assert not engine.note_unlimited(0.5, 1.1)  # sent before, so it may be overtaken
    assert engine.limit is not None
    assert engine.note_unlimited(1.5, 2.0)
    assert engine.limit is None


def test_older_report_of_a_peer_does_not_bring_back_a_limit(engine):
    engine.note_limit(2.0, 1.0, 1.0)
    engine.note_unlimited(1.5, 2.0)
    assert not engine.note_peer_limit("p", LimitReport(7, 2.0, 1.2, 9), 2.1)
    assert engine.limit is None
    assert engine.note_peer_limit("p", LimitReport(7, 3.0, 2.2, 9), 2.3)
    assert engine.limit.rate == 3.0


def test_end_of_a_limit_reaches_entries_that_send_nothing(engine):
    engine.note_limit(2.0, 1.0, 1.0)
    other = Engine(engine.record)
    other.note_peer_limit("p", engine.limit_report(1.1), 1.1)
    assert other.limit.rate == 2.0
    engine.note_unlimited(1.5, 2.0)
    other.note_peer_limit("p", engine.limit_report(2.1), 2.1)
    assert other.limit is None
    assert engine.limit_report(60.0) is None


def test_limit_of_an_earlier_incarnation_is_ignored(engine):
    assert not engine.note_peer_limit("p", LimitReport(6, 2.0, 1.0, 9), 1.0)
    assert engine.limit is None


def test_requests_of_a_peer_are_charged_once():
    limit = EngineLimit(10.0, 0.0, balance=5.0)
    for sent in (3, 5, 5, 4):  # the first one is only the start of the count
        limit.note_peer("p", sent, 0.0)
    assert limit.balance == 3.0


def test_requests_of_a_peer_that_learns_the_limit_later_are_all_charged():
    limit = EngineLimit(10.0, 0.0, balance=5.0)
    limit.note_peer("p", 2, 4.0)
    before = limit.balance
    limit.note_peer("q", 2, 4.0)
    assert limit.balance == before - 2


def test_engine_that_names_0_is_asked_again():
    limit = EngineLimit(0.0, 0.0)
    assert 0 < limit.wait_s(0, 0.0) < 60.0


def test_change_of_the_limit_keeps_the_account():
    limit = EngineLimit(1.0, 0.0)
    limit.change_rate(4.0, 2.0)
    assert limit.balance == pytest.approx(2.0)
    assert limit.wait_s(0, 2.0) == 0.0


def test_each_entry_has_a_rank_of_its_own_and_those_of_the_zone_come_first():
    zones = {f"10.0.0.{n}": "a" if n % 2 else "b" for n in range(6)}
    ranks = {}
    for name in zones:
        ownership = Ownership(name)
        ownership.set_members(zones)
        ranks[name] = ownership.rank("e1", "a")
        assert (ranks[name] == 0) == ownership.owns("e1", "a")
    assert sorted(ranks.values()) == list(range(6))
    assert {zones[name] for name, rank in ranks.items() if rank < 3} == {"a"}


@pytest.mark.parametrize("zones", [{}, {"10.0.0.1": "a", "10.0.0.2": "b"}])
def test_entry_that_does_not_know_its_rank_leaves_a_limit_to_all_others(zones):
    stranger = Ownership("10.9.9.9")
    stranger.set_members(zones)
    limit = EngineLimit(2.0, 0.0, balance=1.0)
    assert limit.wait_s(0, 0.0) == 0.0
    assert limit.wait_s(stranger.rank("e1", "a"), 0.0) == 1.0


def test_known_peers_of_a_limit_are_bounded():
    limit = EngineLimit(2.0, 0.0)
    for number in range(3000):
        limit.note_peer(f"p{number}", 1, 0.0)
    assert len(limit._sent_by_peers) == 1000


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"2.6", 2.6),
        (b"0", 0.0),
        (b" 12 ", 12.0),
        (b"0.30000000000000004", 0.30000000000000004),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"", None),
        (b"2,6", None),
        (b"1" * 5000, None),
    ],
)
def test_limit_is_a_decimal_number(value, rate):
    assert decode_limit_header(Headers([(b"Server-Limit", value)])) == rate
    assert decode_limit_header(Headers([])) is None
