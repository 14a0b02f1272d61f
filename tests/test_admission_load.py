"""Simulates bursts that exceed the engines' slots against a gateway's admission."""

import heapq
from collections import Counter
from random import Random

import pytest

from pomeloshift.dispatch import OnlineAdmission, RetryAfter, Route, RouteKind
from pomeloshift.dispatch import _admission as admission_module

SLOTS = 24
HOLD_S = (0.6, 1.0)
INTERVAL_S = sum(HOLD_S) / 2 / SLOTS
CYCLE_S = 6.6
BURST_S = 2.8
DURATION_S = 132.0
DEADLINE_S = 5.0
ROUTE = Route("r", "h", "/p/", RouteKind.STREAMING, (), DEADLINE_S, objective_s=0.3)


class BurstSimulation:
    """Callers that retry once, and engines that serve in order of arrival."""

    def __init__(self, seed, burst_per_s, calm_per_s=8.0):
        self.random = Random(seed)
        self.admission = OnlineAdmission()
        self.retry_after = RetryAfter(self.random)
        self.outcomes = Counter()
        self._free_at = [0.0] * SLOTS
        self._ends = []
        self._events = []
        self._number = 0
        now = 0.0
        while now < DURATION_S:
            is_burst = now % CYCLE_S < BURST_S
            now += self.random.expovariate(burst_per_s if is_burst else calm_per_s)
            self._add(now, "arrives", DEADLINE_S)

    def run(self):
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            getattr(self, kind)(now, value)
        return self.outcomes

    def arrives(self, now, deadline_s):
        self.admission.note_arrival(ROUTE, deadline_s)
        wait_s = max(0, self.open_requests(now) + 1 - SLOTS) * INTERVAL_S
        if not self.admission.allows(ROUTE, deadline_s, 0.0, wait_s, INTERVAL_S, now):
            self._refuse(now, deadline_s)
            return
        start = max(now, self._free_at[0])
        end = start + self.random.uniform(*HOLD_S)
        heapq.heapreplace(self._free_at, end)
        heapq.heappush(self._ends, end)
        if wait_s > 0:
            self._add(start, "starts", (wait_s, start - now))
        attempt = "first" if deadline_s == DEADLINE_S else "returned"
        self.outcomes[attempt, start - now <= ROUTE.objective_s] += 1

    def open_requests(self, now):
        """Returns the requests that run or wait at the engines."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        return len(self._ends)

    def starts(self, now, measured):
        self.admission.note_start(*measured)

    def _refuse(self, now, deadline_s):
        delay_s = self.retry_after.after_burst(deadline_s)
        self.admission.note_refusal(ROUTE, deadline_s, now + delay_s)
        if deadline_s < DEADLINE_S:
            self.outcomes["lost"] += 1
            return
        self._add(now + delay_s, "arrives", deadline_s - delay_s)

    def _add(self, at, kind, value):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, value))


@pytest.fixture
def without_reservation(monkeypatch):
    """Reserves no slots for callers that are due to retry."""
    monkeypatch.setattr(admission_module, "RESERVED_OBJECTIVES", 0.0)


SEEDS = range(5)


def share(outcomes, *names):
    return sum(outcomes[name] for name in names) / outcomes.total()


def lost_share(burst_per_s):
    return (
        sum(share(BurstSimulation(seed, burst_per_s).run(), "lost") for seed in SEEDS)
        / 5
    )


def test_no_caller_is_lost_while_slots_suffice():
    for seed in SEEDS:
        outcomes = BurstSimulation(seed, burst_per_s=18.0).run()
        assert share(outcomes, "lost") == 0
        assert share(outcomes, ("first", True)) > 0.99


def test_reserved_slots_at_least_halve_the_callers_lost_in_a_burst(request):
    reserved = lost_share(burst_per_s=45.0)
    request.getfixturevalue("without_reservation")
    unreserved = lost_share(burst_per_s=45.0)
    assert reserved < 0.5 * unreserved


def test_accepted_requests_start_within_their_objective():
    for seed in SEEDS:
        outcomes = BurstSimulation(seed, burst_per_s=60.0).run()
        late = share(outcomes, ("first", False), ("returned", False))
        on_time = share(outcomes, ("first", True), ("returned", True))
        assert late < 0.15 * on_time
