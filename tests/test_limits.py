from collections import Counter

import pytest

from pomeloshift.config import WorkspaceConfig
from pomeloshift.errors import ErrorCode, Ran
from pomeloshift.limits import (
    AdaptiveLimit,
    Admit,
    Limiter,
    Outcome,
    RetryBudget,
    Shed,
    TokenBucket,
)

FAR = 1000.0


def workspace(name):
    share = 3.0 if name == "large" else 1.0
    limits = {"slow": (2.0, 100), "narrow": (1000.0, 2)}
    rate, concurrency = limits.get(name, (1e6, 10_000))
    return WorkspaceConfig(name, share, rate, concurrency)


@pytest.fixture
def make_limiter():
    def make(limit=4):
        limit = AdaptiveLimit(limit, min_limit=1.0)
        return Limiter(workspace, limit, max_wait_s=0.5)

    return make


def saturate(limiter, count=40):
    """Completes ten requests per second until the drain rate is known."""
    now = 0.0
    for n in range(count):
        limiter.offer(f"warm{n}", "warm", 100, FAR, now)
        now += 0.1
        limiter.ended(f"warm{n}", Outcome.OTHER, now)
        limiter.offer(f"done{n}", "warm", 100, FAR, now)
        limiter.ended(f"done{n}", Outcome.IN_TIME, now)
    return now


def test_bucket_allows_a_burst_and_returns_the_time_to_the_next_unit():
    bucket = TokenBucket(rate=2.0, burst=2.0)
    assert [bucket.take(0.0) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert bucket.take(0.5) == 0.0


def test_retries_are_bounded_by_a_fraction_of_successes():
    budget = RetryBudget(ratio=0.1, free_per_s=0.001, max_saved=5.0)
    assert sum(budget.try_spend(0.0) for _ in range(50)) == 5
    for _ in range(30):
        budget.succeeded(0.0)
    assert sum(budget.try_spend(0.0) for _ in range(50)) == 3


def test_rate_and_concurrency_are_limited_per_workspace(make_limiter):
    limiter = make_limiter(limit=100)
    results = [limiter.offer(str(n), "slow", 1, FAR, 0.0) for n in range(3)]
    (shed,) = results[2]
    assert (shed.error.code, shed.error.ran) == (ErrorCode.RATE_LIMITED, Ran.NO)
    assert shed.error.retry_after_s == 0.5
    assert limiter.offer("other", "free", 1, FAR, 0.0) == [Admit("other")]
    for n in range(2):
        limiter.offer(f"n{n}", "narrow", 1, FAR, 0.0)
    (shed,) = limiter.offer("n2", "narrow", 1, FAR, 0.0)
    assert shed.error.code is ErrorCode.RATE_LIMITED
    limiter.ended("n0", Outcome.IN_TIME, 0.1)
    assert limiter.offer("n3", "narrow", 1, FAR, 0.1) == [Admit("n3")]


def test_queue_serves_workspaces_by_their_shares(make_limiter):
    limiter = make_limiter(limit=1)
    limiter.offer("first", "x", 1, FAR, 0.0)
    for n in range(40):
        limiter.offer(f"large.{n}", "large", 10, FAR, 0.0)
        limiter.offer(f"small.{n}", "small", 10, FAR, 0.0)
    served = Counter()
    current = "first"
    for _ in range(40):
        (admitted,) = limiter.ended(current, Outcome.OTHER, 0.0)
        current = admitted.request_id
        served[current.split(".")[0]] += 1
    assert served == {"large": 30, "small": 10}


def test_earliest_deadline_of_a_workspace_is_served_first_and_expired_are_shed(
    make_limiter,
):
    limiter = make_limiter(limit=1)
    limiter.offer("first", "x", 1, FAR, 0.0)
    limiter.offer("late", "w", 1, 2.0, 0.0)
    limiter.offer("second", "w", 1, 9.0, 0.0)
    limiter.offer("soon", "w", 1, 5.0, 0.0)
    shed, admitted = limiter.ended("first", Outcome.OTHER, 3.0)
    assert (shed.request_id, shed.error.ran) == ("late", Ran.NO)
    assert admitted == Admit("soon")


def test_request_that_would_wait_too_long_is_refused_at_once(make_limiter):
    limiter = make_limiter(limit=2)
    now = saturate(limiter)
    results = [limiter.offer(str(n), "flood", 100, FAR, now) for n in range(50)]
    shed = [effect for effects in results for effect in effects if type(effect) is Shed]
    assert limiter.waiting < 20
    assert shed and {s.error.code for s in shed} == {ErrorCode.OVERLOADED}
    assert all(s.error.ran is Ran.NO and s.error.retry_after_s > 0.5 for s in shed)


def test_flood_of_one_workspace_does_not_shed_another(make_limiter):
    limiter = make_limiter(limit=2)
    now = saturate(limiter)
    for n in range(500):
        limiter.offer(str(n), "flood", 100, FAR, now)
    assert limiter.offer("small", "small", 100, FAR, now) == []
    current, served = "0", []
    while "small" not in served:
        effects = limiter.ended(current, Outcome.IN_TIME, now)
        served += [effect.request_id for effect in effects]
        current = served[-1]
    assert len(served) <= 2


def test_request_of_a_disconnected_caller_is_removed_from_the_queue(make_limiter):
    limiter = make_limiter(limit=1)
    limiter.offer("first", "x", 1, FAR, 0.0)
    limiter.offer("gone", "narrow", 1, FAR, 0.0)
    limiter.cancel("gone", "narrow")
    assert limiter.ended("first", Outcome.IN_TIME, 1.0) == []
    assert limiter.waiting == 0


def test_limit_decreases_with_the_share_of_overloads_once_per_interval():
    limit = AdaptiveLimit(limit=100.0)
    for _ in range(50):
        limit.overloaded(0.0)
    assert limit.limit == 100.0
    limit.overloaded(0.5)
    assert 90.0 < limit.limit < 100.0
    shrunk = limit.limit
    limit.overloaded(0.6)
    assert limit.limit == shrunk


def test_limit_increases_only_when_it_is_reached():
    limit = AdaptiveLimit(limit=100.0)
    for second in range(10):
        limit.succeeded(running=10, now=float(second))
    assert limit.limit == 100.0
    for second in range(10, 12):
        limit.succeeded(running=100, now=float(second))
    assert 100.0 < limit.limit < 110.0
