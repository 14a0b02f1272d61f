"""Decisions about keys and the lease on the configuration, in virtual time."""

import attrs
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pomeloshift.dispatch import ServingConfig, Workspace
from pomeloshift.jobs import JobSubmitted, decode_record, encode_record
from pomeloshift.workspaces import Caller, ConfigLease, KeyCheck, Verdict

REVOCATION_S = 5.0
NORTH = Workspace("north", frozenset({"n1", "n2"}), priority=3)
SOUTH = Workspace("south", frozenset({"s1"}))
CONFIG = ServingConfig(1, (), workspaces=(NORTH, SOUTH))


@pytest.fixture
def check():
    check = KeyCheck(ConfigLease(REVOCATION_S))
    check.lease.confirm(100.0)
    return check


def decide(check, key, now=100.1, config=CONFIG, is_anonymous=False, since=99.9):
    return check.decide(config, key, is_anonymous, 1, now, since)


@pytest.mark.parametrize(
    ("key", "is_anonymous", "caller"),
    [
        ("n1", False, Caller(NORTH, 3, "north")),
        ("s1", False, Caller(SOUTH, 1, "south")),
        ("s1", True, Caller(SOUTH, 1, "south")),
        ("x", True, Caller(None, 1, "")),
        (None, True, Caller(None, 1, "")),
    ],
)
def test_caller_has_the_priority_of_its_workspace_or_route(
    check, key, is_anonymous, caller
):
    decision = decide(check, key, is_anonymous=is_anonymous)
    assert (decision.verdict, decision.caller) == (Verdict.SERVE, caller)


def test_everything_is_served_without_workspaces():
    decision = decide(
        KeyCheck(ConfigLease(REVOCATION_S)), "x", config=ServingConfig(1, ())
    )
    assert (decision.verdict, decision.caller) == (Verdict.SERVE, Caller(None, 1))


@pytest.mark.parametrize("key", ["x", "", None])
def test_key_is_unknown_only_to_a_current_configuration(check, key):
    """Guards against a 401 for a key that is newer than this configuration."""
    assert decide(check, key, since=100.0).verdict is Verdict.UNKNOWN_KEY
    assert decide(check, key, since=100.01).verdict is Verdict.READ


@pytest.mark.parametrize("key", ["n1", "x", None])
def test_nothing_is_decided_by_key_without_the_lease(check, key):
    decision = decide(check, key, now=105.0, since=0.0)
    assert decision.verdict is Verdict.NO_LEASE
    served = decide(check, None, now=105.0, is_anonymous=True)
    assert served.verdict is Verdict.SERVE


def test_lease_without_strict_revocation_lasts_after_one_confirmation():
    lease = ConfigLease()
    assert not lease.is_valid(0.0)
    lease.confirm(1.0)
    assert lease.is_valid(1e6)
    assert not lease.needs_read(1e6)


def test_late_read_does_not_shorten_the_lease():
    lease = ConfigLease(REVOCATION_S)
    lease.confirm(3.0)
    lease.confirm(1.0)
    assert lease.is_valid(7.9)


@pytest.mark.parametrize("revocation_s", [0.0, -1.0])
def test_revocation_time_is_positive(revocation_s):
    with pytest.raises(ValueError, match="revocation_s"):
        ConfigLease(revocation_s)


@attrs.frozen
class Read:
    """A read of the configuration; delays are in seconds."""

    requested_at: float
    to_store_s: float
    to_gateway_s: float

    @property
    def seen_at(self):
        return self.requested_at + self.to_store_s

    @property
    def arrives_at(self):
        return self.seen_at + self.to_gateway_s


@attrs.frozen
class Request:
    """A request with the key that is removed."""

    sent_at: float
    delay_s: float


TIMES = st.floats(0, 30, allow_subnormal=False)
DELAYS = st.one_of(st.just(0.0), st.floats(0, 0.05), st.floats(0, 20))
READS = st.lists(st.builds(Read, TIMES, DELAYS, DELAYS), max_size=12)
REQUESTS = st.lists(st.builds(Request, TIMES, DELAYS), min_size=1, max_size=12)
# A frozen process handles nothing, and a suspended machine neither; the clock of the
# lease goes on in both.
PAUSES = st.lists(st.tuples(TIMES, DELAYS), max_size=3)


def handled_at(time, pauses):
    """The time at which a process that pauses handles what arrives at ``time``."""
    for start, length in sorted(pauses):
        if start <= time < start + length:
            time = start + length
    return time


def accepted(reads, requests, removed_at, pauses):
    """Returns the requests that a gateway accepts.

    A request is checked as late as its delay and the pauses make it.
    """
    check = KeyCheck(ConfigLease(REVOCATION_S))
    before = ServingConfig(1, (), workspaces=(NORTH,))
    after = ServingConfig(2, (), workspaces=(SOUTH,))
    arrivals = [(handled_at(one.arrives_at, pauses), 0, one) for one in reads]
    arrivals += [
        (handled_at(one.sent_at + one.delay_s, pauses), 1, one) for one in requests
    ]
    arrivals.sort(key=lambda arrival: arrival[:2])
    config = before
    for now, _, one in arrivals:
        if isinstance(one, Read):
            if one.seen_at >= removed_at:
                config = after
            check.lease.confirm(one.requested_at)
        elif decide(check, "n1", now, config).verdict is Verdict.SERVE:
            yield one


@given(READS, REQUESTS, TIMES, PAUSES)
# Fails if the lease counts from the answer: it was delayed until after the removal.
@example([Read(0, 0, 3)], [Request(6.5, 0)], 1.0, [])
# Fails if the lease counts from when the process handles the answer.
@example([Read(0, 0, 0.1)], [Request(11.0, 0)], 1.0, [(0.05, 10.0)])
def test_no_revoked_key_is_accepted_later_than_the_revocation_time(
    reads, requests, removed_at, pauses
):
    for one in accepted(reads, requests, removed_at, pauses):
        assert one.sent_at <= removed_at + REVOCATION_S


@given(st.floats(0, 0.05), st.floats(0, 0.05), st.floats(0, 100))
def test_lease_lasts_while_long_polls_are_answered(to_store_s, to_gateway_s, at):
    """Guards against refusals, and additional reads, while the store is healthy."""
    lease = ConfigLease(REVOCATION_S)
    requested_at = 0.0
    while True:
        answered_at = requested_at + to_store_s + lease.poll_s + to_gateway_s
        if answered_at > at:
            break
        lease.confirm(requested_at)
        requested_at = answered_at
    if lease.confirmed_at >= 0:
        assert lease.is_valid(at)
        assert not lease.needs_read(at)


def test_job_record_of_an_earlier_version_has_no_workspace():
    """Guards against jobs that are lost when the records get a field."""
    record = JobSubmitted("j1", "q", "h", "/p", 1.0, [])
    fields = msgspec.msgpack.decode(encode_record(record))
    # The workspace and the cap are the last two fields.
    assert fields[-2:] == ["", 0]
    for missing in (1, 2):
        earlier = msgspec.msgpack.encode(fields[:-missing])
        assert decode_record(earlier) == record


def test_callers_may_use_the_jobs_of_their_workspace_and_of_none():
    north, nobody, before = Caller(NORTH, 0, "north"), Caller(name=""), Caller()
    jobs = ("north", "south", "")
    assert [north.may_use(name) for name in jobs] == [True, False, True]
    assert [nobody.may_use(name) for name in jobs] == [False, False, True]
    assert [before.may_use(name) for name in jobs] == [True, True, True]
