"""Appends over a slow path to the store, in virtual time."""

import attrs
import pytest
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import Clock, deferLater

from pomeloshift.appends import CallPace, UploadPlan
from pomeloshift.appends._call_pace import (
    CALL_S,
    MIN_BYTES_PER_S,
    MIN_CALL_BYTES,
)
from pomeloshift.gateway._blob_store import BlobStore
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._log_writer import LogUnavailableError, LogWriter
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.net import SystemClock
from pomeloshift.platform import StoreNoResponseError, StoreUnreachableError
from pomeloshift.standins.platform import Partition

MAX_BYTES = 1024 * 1024
RESPONSE_S = 1.0
ROUND_TRIP_S = 0.044
# The narrowest link between two regions, in bytes per second.
NARROW = 15e6 / 8
RECORD_BYTES = 262_144


@attrs.define
class SlowStore:
    """A store behind a path of ``bytes_per_s``; a call given up leaves no trace.

    While ``is_silent`` nothing has a response.
    """

    clock: Clock
    bytes_per_s: float
    is_silent: bool = False
    partition: Partition = attrs.field(factory=Partition)
    calls: list = attrs.field(factory=list)

    async def append(
        self, topic, number, records, producer, sequence, timeout_s, epoch=1
    ):
        rows = [bytes([len(key)]) + key.encode() + (v or b"") for key, v in records]
        took_s = ROUND_TRIP_S + sum(map(len, rows)) / self.bytes_per_s
        self.calls.append((self.clock.seconds(), sum(map(len, rows))))
        if took_s > timeout_s or self.is_silent:
            await deferLater(self.clock, timeout_s, lambda: None)
            raise StoreNoResponseError("no response in time")
        await deferLater(self.clock, took_s, lambda: None)
        return self.partition.append(rows, producer, epoch, sequence).offset

    async def newest(self, topic, number, after=""):
        raise StoreUnreachableError("not needed")

    @property
    def keys(self):
        return set(self.partition.newest())


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def make(clock):
    """Makes a store with a speed, a writer to it and a store for blobs."""

    def make(bytes_per_s):
        store = SlowStore(clock, bytes_per_s)
        events = EventLog(SystemClock(), GatewayMetrics("g"))
        pace = CallPace(MAX_BYTES, RESPONSE_S)
        writer = LogWriter("t", 0, store, "p", pace, clock, events)
        return store, writer, BlobStore(store, writer, RECORD_BYTES, events)

    return make


def begin(coroutine):
    done = Deferred.fromCoroutine(coroutine)
    # A failure that a test expects is read from `result`.
    done.addErrback(lambda failure: failure.value)
    return done


def advance(clock, seconds):
    for _ in range(round(seconds / 0.01)):
        clock.advance(0.01)


def test_large_job_on_a_slow_path_does_not_block_the_writer(clock, make):
    """Its bodies made one call that took longer than its time-out, again and again."""
    store, writer, blobs = make(NARROW)
    job = begin(blobs.put("large", [b"x" * 15_000] * 130, 2.4, 1.6))
    advance(clock, 0.1)
    results = []
    for number in range(10):
        began_at = clock.seconds()
        result = begin(blobs.put(f"small{number}", [b"output"], 60.0))
        result.addCallback(
            lambda refs, at: results.append((clock.seconds() - at, refs)), began_at
        )
        advance(clock, 0.2)
    assert len(job.result) == 130
    assert len(results) == 10
    # A result waits for the call under way and is part of one of the next two.
    assert max(waited for waited, _ in results) <= 4 * CALL_S + ROUND_TRIP_S
    assert max(size for _, size in store.calls) < MAX_BYTES


def test_references_of_an_upload_in_several_appends_name_its_records(clock, make):
    store, _, blobs = make(NARROW)
    bodies = [b"%05d" % n * 3000 for n in range(40)]
    job = begin(blobs.put("large", bodies, 5.0))
    other = begin(blobs.put("other", [b"o"], 5.0))
    advance(clock, 3.0)
    assert len(store.calls) > 2
    assert len(other.result) == 1
    for ref, body in zip(job.result, bodies, strict=True):
        record = store.partition.records[ref.offset]
        assert record.endswith(body)
        assert ref.parts == 1
        assert ref.size == len(body)


def test_references_are_right_where_keys_exceed_the_largest_call(clock, make):
    """The size of a group counts the blobs alone; the call has their keys as well."""
    store, _, blobs = make(100e6)
    blobs.writer.pace.call_bytes = MAX_BYTES
    bodies = [b"%05d" % n * 200 for n in range(1040)]
    job = begin(blobs.put("large", bodies, 5.0))
    clock.advance(0.06)
    # Another process writes between the calls.
    store.partition.append([b"\x01kv"], "", 0, 0)
    advance(clock, 2.0)
    for ref, body in zip(job.result, bodies, strict=True):
        assert store.partition.records[ref.offset].endswith(body)


@pytest.mark.parametrize("bytes_per_s", [MIN_BYTES_PER_S * 1.2, NARROW / 14, NARROW])
@pytest.mark.parametrize("size", [1_000, 60_000, 900_000, 1_900_000])
def test_append_gets_through_on_any_path_that_is_fast_enough(
    clock, make, bytes_per_s, size
):
    """An append that was larger than its time-out allowed was repeated for good."""
    store, writer, _ = make(bytes_per_s)
    append = writer.append([("k#0", b"x" * size)])
    advance(clock, 120.0)
    assert append.done.result == 0
    assert store.keys == {"k#0"}


def test_calls_become_as_large_as_a_fast_path_allows(clock, make):
    store, _, blobs = make(100e6)
    job = begin(blobs.put("j", [b"x" * 15_000] * 400, 30.0))
    advance(clock, 5.0)
    assert len(job.result) == 400
    assert max(size for _, size in store.calls) > MAX_BYTES / 2
    assert len(store.calls) < 12


def test_small_appends_to_a_silent_store_are_repeated_after_the_same_time(clock, make):
    """The repeats keep their pace, so that a store that is back is noticed at once."""
    store, writer, _ = make(NARROW)
    store.is_silent = True
    append = writer.append([("k#0", b"x" * 500)])
    advance(clock, 20.0)
    gaps = [b - a for (a, _), (b, _) in zip(store.calls, store.calls[1:], strict=False)]
    assert max(gaps) < 2 * RESPONSE_S
    store.is_silent = False
    advance(clock, 2 * RESPONSE_S)
    assert append.done.result == 0


def test_upload_that_cannot_be_in_time_is_refused_before_its_deadline(clock, make):
    """It waited for its deadline, and left what was stored of it in the store."""
    store, _, blobs = make(2 * MIN_BYTES_PER_S)
    job = begin(blobs.put("large", [b"x" * 15_000] * 130, 2.4, 1.6))
    advance(clock, 1.0)
    assert isinstance(job.result, LogUnavailableError)
    advance(clock, 5.0)
    assert store.keys == set()
    assert sum(size for _, size in store.calls) < 200_000


@pytest.mark.parametrize("silent_at", [0.0, 0.2, 0.5])
def test_upload_that_ends_in_an_outage_is_removed_after_it(clock, make, silent_at):
    store, writer, blobs = make(NARROW)
    job = begin(blobs.put("large", [b"x" * 15_000] * 130, 2.4, 1.6))
    advance(clock, silent_at)
    store.is_silent = True
    advance(clock, 4.0)
    assert isinstance(job.result, Exception)
    store.is_silent = False
    advance(clock, 20.0)
    assert not writer.has_unwritten
    assert store.keys == set()


def test_cancelled_upload_is_removed(clock, make):
    store, writer, blobs = make(NARROW)
    job = Deferred.fromCoroutine(blobs.put("large", [b"x" * 15_000] * 130, 2.4))
    job.addErrback(lambda failure: None)
    advance(clock, 0.5)
    job.cancel()
    advance(clock, 5.0)
    assert not writer.has_unwritten
    assert store.keys == set()


def test_large_uploads_at_once_share_the_path(clock, make):
    store, _, blobs = make(NARROW)
    jobs = [begin(blobs.put(f"j{n}", [b"x" * 15_000] * 60, 60.0)) for n in range(4)]
    small = begin(blobs.put("small", [b"output"], 60.0))
    advance(clock, 1.5)
    assert len(small.result) == 1
    advance(clock, 10.0)
    refs = gatherResults(jobs).result
    assert [len(each) for each in refs] == [60] * 4
    assert len(store.keys) == 241


# The cores by themselves


def test_size_limit_follows_the_time_of_large_calls():
    pace = CallPace(MAX_BYTES, RESPONSE_S)
    assert pace.call_bytes == MIN_CALL_BYTES
    for _ in range(10):
        pace.note_response(pace.call_bytes, CALL_S / 2)
    assert pace.call_bytes == MAX_BYTES
    pace.note_response(MAX_BYTES, 1.5 * CALL_S)
    assert pace.call_bytes == MAX_BYTES
    pace.note_response(MAX_BYTES, 3 * CALL_S)
    pace.note_lost(MAX_BYTES // 2)
    assert pace.call_bytes == MAX_BYTES // 4
    for _ in range(10):
        pace.note_lost(MAX_BYTES)
    assert pace.call_bytes == MIN_CALL_BYTES


def test_small_calls_do_not_change_the_size_limit():
    pace = CallPace(MAX_BYTES, RESPONSE_S)
    pace.note_response(MIN_CALL_BYTES, CALL_S / 2)
    limit = pace.call_bytes
    for _ in range(10):
        pace.note_response(1000, 5.0)
        pace.note_response(1000, 0.001)
        pace.note_lost(1000)
    assert pace.call_bytes == limit


def test_time_out_grows_with_the_size_and_with_lost_calls():
    pace = CallPace(MAX_BYTES, RESPONSE_S)
    assert pace.timeout_s(0) == RESPONSE_S
    assert pace.timeout_s(0, lost_calls=9) == RESPONSE_S
    assert pace.timeout_s(1000, lost_calls=9) < 1.1 * RESPONSE_S
    times = [pace.timeout_s(MIN_CALL_BYTES, lost) for lost in range(8)]
    assert times == sorted(times)
    assert times[0] > RESPONSE_S
    assert times[-1] == RESPONSE_S + MIN_CALL_BYTES / MIN_BYTES_PER_S


def test_plan_divides_blobs_and_keeps_their_order():
    plan = UploadPlan([40, 40, 200, 10, 10], until=9.0)
    groups = []
    while group := plan.next_group(call_bytes=100):
        groups.append(list(group))
        plan.note_stored(took_s=0.01)
    assert groups == [[0, 1], [2], [3, 4]]


def test_plan_is_too_late_by_its_fastest_long_append():
    plan = UploadPlan([100] * 10, until=10.0)
    plan.next_group(100)
    plan.note_stored(took_s=CALL_S / 5)
    assert not plan.is_too_late(now=9.9)
    plan.next_group(100)
    plan.note_stored(took_s=2.0)
    assert plan.is_too_late(now=0.0)
    plan.next_group(100)
    plan.note_stored(took_s=1.0)
    assert not plan.is_too_late(now=3.0)
    assert plan.is_too_late(now=3.1)


def test_stored_plan_is_not_too_late():
    plan = UploadPlan([100], until=10.0)
    plan.next_group(50)
    plan.note_stored(took_s=9.0)
    assert not plan.is_too_late(now=10.0)
    assert not plan.next_group(50)


def test_plan_without_blobs_has_no_group():
    assert not UploadPlan([], until=1.0).next_group(100)
