from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.errors import Ran
from pomeloshift.log import (
    AppendOutcomeUnknownError,
    Checkpoint,
    CheckpointAssembler,
    CommitBufferFullError,
    CommitLimits,
    GroupCommitter,
    LogPage,
    LogRateLimitedError,
    LogUnavailableError,
    RecordCommitted,
    RecordRefused,
    RecordUnknown,
    StoredRecord,
    StreamFollower,
    checkpoint_records,
)
from pomeloshift.standins.log import LogFaults, LogModel, LogSettings

LIMITS = CommitLimits(max_records=3, min_interval_s=0.1, buffer_records=10)


@pytest.fixture
def committer():
    return GroupCommitter("s", LIMITS, Random(1))


def offer_all(committer, count, now=0.0, expires_at=None):
    for number in range(count):
        committer.offer(f"r{number}", b"x%d" % number, now, expires_at)


def test_one_append_at_a_time_and_no_more_often_than_the_interval(committer):
    offer_all(committer, 7)
    append = committer.next_append(0.0)
    assert append.payloads == (b"x0", b"x1", b"x2")
    assert committer.next_append(5.0) is None
    committed = committer.appended(append.append_id, 40, 0.01)
    assert committed == [RecordCommitted(f"r{n}", 40 + n) for n in range(3)]
    assert committer.next_append(0.05) is None
    assert committer.wake_at() == pytest.approx(0.1)
    assert committer.next_append(0.1).payloads == (b"x3", b"x4", b"x5")


def test_append_without_response_is_retried_with_the_same_records(committer):
    offer_all(committer, 2)
    first = committer.next_append(0.0)
    committer.ambiguous(first.append_id, 1.0)
    again = committer.next_append(committer.wake_at())
    assert again.payloads == first.payloads
    assert committer.appended(first.append_id, 0, 2.0) == []
    assert len(committer.appended(again.append_id, 2, 2.0)) == 2


def test_read_of_the_stream_resolves_an_append_without_response(committer):
    offer_all(committer, 2)
    append = committer.next_append(0.0)
    committer.ambiguous(append.append_id, 1.0)
    assert committer.observed("r0", 9) == [RecordCommitted("r0", 9)]
    assert committer.observed("r1", 10) == [RecordCommitted("r1", 10)]
    assert committer.next_append(100.0) is None
    assert committer.waiting_bytes == 0


def test_record_of_a_refused_append_expires_as_refused(committer):
    offer_all(committer, 1, expires_at=3.0)
    append = committer.next_append(0.0)
    committer.refused(append.append_id, 1.0)
    assert committer.expire(2.9) == []
    (effect,) = committer.expire(3.0)
    assert isinstance(effect, RecordRefused)
    assert effect.error.ran is Ran.NO
    assert committer.next_append(100.0) is None


@pytest.mark.parametrize("is_in_flight", [True, False])
def test_record_that_may_be_durable_never_expires_as_refused(committer, is_in_flight):
    offer_all(committer, 1, expires_at=3.0)
    append = committer.next_append(0.0)
    if not is_in_flight:
        committer.ambiguous(append.append_id, 1.0)
    (effect,) = committer.expire(3.0)
    assert isinstance(effect, RecordUnknown)
    assert effect.error.ran is Ran.UNKNOWN
    assert committer.waiting_records == 1
    assert committer.observed("r0", 4) == [RecordCommitted("r0", 4)]


def test_full_buffer_refuses_records_and_a_waiting_record_is_queued_once(committer):
    offer_all(committer, 10)
    committer.offer("r3", b"x3", 0.0)
    with pytest.raises(CommitBufferFullError) as caught:
        committer.offer("r10", b"x", 0.0)
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s


def run_against_faulty_log(seed, seconds=60.0):
    """Commits 60 records to a faulty log; returns what is stored and the effects."""
    rng = Random(seed)
    model = LogModel(LogSettings(appends_per_s=20, burst=2), rng)
    committer = GroupCommitter("s", LIMITS, rng)
    follower = StreamFollower("s")
    effects = []
    now = 0.0
    offered = 0
    while now < seconds:
        now += 0.05
        model.faults = LogFaults(
            is_down=10 < now < 20, lost_answer_rate=0.4, refusal_rate=0.2
        )
        if now > 40:
            model.faults = LogFaults()
        if offered < 60 and committer.has_capacity(1, 10):
            committer.offer(f"r{offered}", b"r%d" % offered, now, now + 5)
            offered += 1
        if append := committer.next_append(now):
            try:
                response = model.append("s", append.payloads, now)
                if response.is_lost:
                    raise AppendOutcomeUnknownError("lost")
                effects += committer.appended(
                    append.append_id, response.first_offset, now
                )
            except AppendOutcomeUnknownError:
                committer.ambiguous(append.append_id, now)
            except (LogUnavailableError, LogRateLimitedError):
                committer.refused(append.append_id, now)
        if rng.random() < 0.1:
            try:
                page = model.read("s", follower.next_offset, 5, now)
            except LogUnavailableError:
                page = LogPage(0, 0)
            for stored in follower.take_page(page):
                effects += committer.observed(stored.data.decode(), stored.offset)
        effects += committer.expire(now)
    records = model.read("s", 0, 10_000, now).records
    return {r.data.decode() for r in records}, effects, committer, model


@pytest.mark.parametrize("seed", range(20))
def test_every_reported_outcome_agrees_with_the_log_under_faults(seed):
    stored, effects, committer, model = run_against_faulty_log(seed)
    committed = {e.record_id for e in effects if isinstance(e, RecordCommitted)}
    refused = {e.record_id for e in effects if isinstance(e, RecordRefused)}
    assert model.lost_answers > 0
    assert model.refused > 0
    assert committed == stored
    assert not refused & stored
    assert committed | refused == {f"r{n}" for n in range(60)}
    assert committer.waiting_records == 0


def test_own_append_needs_no_read_unless_records_lie_between():
    follower = StreamFollower("s", 5)
    assert [r.offset for r in follower.take_own(5, [b"a", b"b"])] == [5, 6]
    assert follower.take_own(8, [b"d"]) == []
    assert follower.is_behind
    records = tuple(StoredRecord(n, b"") for n in (6, 7, 8))
    returned = follower.take_page(LogPage(0, 9, records))
    assert [r.offset for r in returned] == [7, 8]
    assert not follower.is_behind


@given(data=st.binary(max_size=100), part_bytes=st.integers(1, 40), rng=st.randoms())
def test_checkpoint_is_complete_in_any_order_of_parts(data, part_bytes, rng):
    checkpoint = Checkpoint("c", 7, data)
    other = Checkpoint("d", 7, data + b"!")
    *parts, end = (r.body for r in checkpoint_records(checkpoint, part_bytes))
    mixed = parts * 2 + [r.body for r in checkpoint_records(other)[:-1]]
    rng.shuffle(mixed)
    assembler = CheckpointAssembler()
    assert not any(assembler.add(body) for body in mixed)
    assert assembler.add(end) == checkpoint
    assert assembler.add(end) is None


@given(data=st.binary(min_size=2, max_size=50), missing=st.integers(0, 1))
def test_checkpoint_with_a_missing_part_is_not_returned(data, missing):
    records = checkpoint_records(Checkpoint("c", 1, data), (len(data) + 1) // 2)
    del records[missing]
    assembler = CheckpointAssembler()
    assert not any(assembler.add(record.body) for record in records)
