"""The memory budget of untrusted callers, without connections."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.memory import Kind, MemoryBudget, MemoryPolicy

LIMIT = 1000
POLICY = MemoryPolicy(limit=LIMIT, small=50, small_share=0.1, max_wait_s=1.0)


@pytest.fixture
def budget():
    return MemoryBudget(POLICY)


def opened(budget, now=0.0, body=0, is_complete=False):
    account, _ = budget.open(object(), 10, now)
    account.is_complete = is_complete
    assert budget.reserve(account, Kind.BODY, body, now) is not None
    return account


def test_large_requests_leave_room_for_small_ones(budget):
    first = opened(budget)
    assert budget.reserve(first, Kind.BODY, 900, 0.0) is None
    assert budget.reserve(first, Kind.BODY, 890, 0.0) == ()
    opened(budget, body=40)


def test_limit_holds_to_the_byte(budget):
    account = opened(budget, is_complete=True)
    assert budget.reserve(account, Kind.REQUEST, 991, 0.0) is None
    assert budget.reserve(account, Kind.REQUEST, 990, 0.0) == ()


def test_least_progress_for_the_memory_goes_first(budget):
    stopped, slow, fast = (opened(budget, body=280) for _ in range(3))
    slow.note_received(20, 5.0)
    fast.note_received(200, 5.0)
    fresh = opened(budget, 5.0)
    assert budget.reserve(fresh, Kind.BODY, 200, 5.0) == (stopped,)
    assert not stopped.is_open
    other = opened(budget, 5.0)
    assert budget.reserve(other, Kind.BODY, 200, 5.0) == (slow,)


def test_bodies_that_arrive_are_not_displaced_by_new_ones(budget):
    """Otherwise uploads that together exceed the memory would never end."""
    first = opened(budget, body=800)
    second = opened(budget, 0.5)
    assert budget.reserve(second, Kind.BODY, 800, 0.5) is None
    assert first.is_open


def test_complete_request_displaces_incomplete_ones_only(budget):
    complete = opened(budget, body=400, is_complete=True)
    partial = opened(budget, body=400)
    served = opened(budget, is_complete=True)
    assert budget.reserve(served, Kind.DECODING, 500, 0.0) == (partial,)
    assert budget.reserve(served, Kind.DECODING, 700, 0.0) is None
    assert complete.is_open


def test_waiting_requests_are_granted_small_ones_first(budget):
    holder = opened(budget, body=800, is_complete=True)
    large, small = opened(budget), opened(budget)
    budget.wait(large, Kind.BODY, 700, 0.0)
    budget.wait(small, Kind.BODY, 200, 0.1)
    assert budget.decide(0.2).granted == ()
    budget.close(holder)
    assert budget.decide(0.3).granted == (small,)
    assert budget.decide(1.0).refused == (large,)
    assert not budget.has_waiting


def test_waiting_does_not_count_as_lack_of_progress(budget):
    holder, waiting = opened(budget, body=700), opened(budget)
    budget.wait(waiting, Kind.BODY, 800, 0.0)
    assert waiting.progress(1.5) == 1.0
    assert budget.decide(1.5).dropped == (holder,)


def test_reservation_of_a_closed_account_fails(budget):
    account = opened(budget, body=100)
    budget.close(account)
    budget.close(account)
    assert (budget.used, budget.reserve(account, Kind.BODY, 1, 0.0)) == (0, None)
    assert set(budget.held().values()) == {0}


def test_request_that_never_fits_is_told_apart(budget):
    assert budget.can_ever_fit(900)
    assert not budget.can_ever_fit(901)


@pytest.mark.parametrize("field", ["limit", "max_wait_s", "body_rate", "unread_s"])
def test_policy_is_validated(field):
    with pytest.raises(ValueError, match=field):
        MemoryPolicy(**{"limit": LIMIT, field: 0})


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "reserve", "receive", "complete", "close", "wait"]),
        st.integers(0, 30),
        st.sampled_from(list(Kind)),
        st.integers(0, 600),
        st.floats(0.0, 2.0),
    ),
    max_size=120,
)


@given(STEPS)
def test_invariants(steps):
    """Guards against memory above the limit, and complete requests that are dropped."""
    budget = MemoryBudget(POLICY)
    now, accounts = 0.0, []
    for step, at, kind, size, delay_s in steps:
        now += delay_s
        account = accounts[at % len(accounts)] if accounts else None
        before = {a: (a.rank(now), a.is_complete) for a in budget.accounts}
        dropped = ()
        if step == "open" or account is None:
            new, dropped = budget.open(object(), 10 + size % 50, now)
            accounts += [new] if new is not None else []
            account = new
        elif step == "reserve":
            dropped = budget.reserve(account, kind, size, now) or ()
        elif step == "receive":
            account.note_received(size, now)
        elif step == "complete":
            account.is_complete = not account.is_complete
        elif step == "close":
            budget.close(account)
        elif account.is_open and account.wanted is None:
            budget.wait(account, kind, size, now)
        check_dropped(budget, dropped, account, before)
        decisions = budget.decide(now)
        for each in (*decisions.granted, *decisions.refused):
            assert each.is_open
        for each in decisions.dropped:
            assert not each.is_open
            assert not each.is_complete
        assert budget.used == sum(a.total for a in budget.accounts)
        assert budget.used <= LIMIT
        assert all(a.is_open for a in budget.accounts)


def check_dropped(budget, dropped, account, before):
    for each in dropped:
        rank, is_complete = before[each]
        assert not is_complete
        assert each is not account
        for kept, (kept_rank, kept_is_complete) in before.items():
            if kept.is_open and kept is not account and not kept_is_complete:
                assert rank <= kept_rank


@given(st.lists(st.integers(1, 800), min_size=1, max_size=40), st.randoms())
def test_all_requests_that_wait_end(sizes, random):
    """Guards against uploads that hold a part each and wait for each other."""
    budget = MemoryBudget(POLICY)
    running, waiting = [], []
    for size in sizes:
        account, _ = budget.open(object(), 1, 0.0)
        if budget.reserve(account, Kind.BODY, size, 0.0) is None:
            budget.wait(account, Kind.BODY, size, 0.0)
            waiting.append(account)
        else:
            running.append(account)
    while running:
        budget.close(running.pop(random.randrange(len(running))))
        granted = budget.decide(0.5).granted
        running += granted
        waiting = [account for account in waiting if account not in granted]
    assert not waiting
