from random import Random

import pytest
from twisted.internet.defer import Deferred

from pomeloshift.entry.calls import (
    CallClaimer,
    CallConflictError,
    CallOutcomeUnknownError,
    ClaimUnconfirmedError,
)
from pomeloshift.entry.calls._claimer import KEY_LIFETIME_S
from pomeloshift.errors import Ran
from pomeloshift.log import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogPage,
    StoredRecord,
)


class FakeLog:
    """Streams in memory; the response to an applied append can be lost."""

    def __init__(self):
        self.streams = {}
        self.loses_responses = False

    async def append(self, stream, payloads):
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records.extend(payloads)
        if self.loses_responses:
            raise AppendOutcomeUnknownError("lost")
        return first

    async def read(self, stream, offset, limit=1000):
        records = self.streams.get(stream, [])
        shown = records[offset : offset + limit]
        stored = [StoredRecord(offset + n, data) for n, data in enumerate(shown)]
        return LogPage(0, len(records), tuple(stored))


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def claim(log):
    claimers = [make_claimer(n, log) for n in range(2)]

    def run(entry, key, fingerprint="f"):
        run_now(claimers[entry].claim("w", "s", key, fingerprint))

    return run


class ManualClock:
    def __init__(self):
        self.now = 1000.0

    def wall(self):
        return self.now

    monotonic = wall


def make_claimer(number, log, partitions=4, clock=None):
    clock = clock or ManualClock()
    return CallClaimer(f"entry-{number}", log, partitions, Random(number), clock, 100.0)


def run_now(coroutine):
    outcome = []
    Deferred.fromCoroutine(coroutine).addBoth(outcome.append)
    if outcome[0] is not None:
        outcome[0].raiseException()


def test_first_claim_wins_over_all_entries(claim):
    claim(0, "k1")
    for entry in (0, 1):
        with pytest.raises(CallOutcomeUnknownError):
            claim(entry, "k1")
    claim(1, "k2")


def test_same_key_with_another_call_is_a_conflict(claim):
    claim(0, "k1", "f1")
    with pytest.raises(CallConflictError):
        claim(1, "k1", "f2")


def test_unconfirmed_claim_is_not_run_and_blocks_later_claims(claim, log):
    log.loses_responses = True
    with pytest.raises(ClaimUnconfirmedError) as caught:
        claim(0, "k1")
    assert caught.value.ran is Ran.NO
    log.loses_responses = False
    with pytest.raises(CallOutcomeUnknownError):
        claim(0, "k1")


def test_concurrent_claims_have_one_winner(log):
    claimers = [make_claimer(n, log, 1) for n in range(2)]
    append_gate = Deferred()
    append = log.append

    async def append_late(stream, payloads):
        await append_gate
        return await append(stream, payloads)

    log.append = append_late
    outcomes = []
    for claimer in claimers:
        coroutine = claimer.claim("w", "s", "k", "f")
        Deferred.fromCoroutine(coroutine).addBoth(outcomes.append)
    append_gate.callback(None)
    won = [outcome for outcome in outcomes if outcome is None]
    lost = [o for o in outcomes if o is not None and o.check(CallOutcomeUnknownError)]
    assert len(won) == 1
    assert len(lost) == 1


class ExpiringLog(FakeLog):
    """Has expired all records before the offset ``first``."""

    first = 0

    async def read(self, stream, offset, limit=1000):
        if offset < self.first:
            raise LogExpiredError("expired", self.first)
        page = await super().read(stream, offset, limit)
        return LogPage(self.first, page.next_offset, page.records)


def test_claim_is_copied_forward_until_its_key_expires():
    log, clock = ExpiringLog(), ManualClock()
    claimer = make_claimer(0, log, 1, clock)
    run_now(claimer.claim("w", "s", "k", "f"))
    clock.now += 30.0
    run_now(claimer.keep(lambda partition: True))
    run_now(claimer.keep(lambda partition: True))
    assert len(log.streams["calls-000"]) == 2
    log.first = 1
    restarted = make_claimer(1, log, 1, clock)
    with pytest.raises(CallOutcomeUnknownError):
        run_now(restarted.claim("w", "s", "k", "f"))
    clock.now += KEY_LIFETIME_S
    run_now(restarted.keep(lambda partition: True))
    run_now(restarted.claim("w", "s", "k", "f"))
