import attrs
import pytest
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from _virtual import VirtualClock
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._timing import STORE_RETRY_MAX_S
from pomeloshift.gateway._topic_follower import TopicFollower, TopicHandlers
from pomeloshift.platform import HistoryLostError, KeyedRecord, NewestPage, Page


def records(first, end):
    return [KeyedRecord(n, f"k{n}", b"v") for n in range(first, end)]


@attrs.define
class Store:
    """A store whose responses the test gives, in any order."""

    snapshots: list = attrs.field(factory=list)
    reads: list = attrs.field(factory=list)

    async def newest(self, topic, partition, after=""):
        self.snapshots.append(Deferred())
        return await self.snapshots[-1]

    async def read(self, topic, partition, offset, wait_s):
        response = Deferred()
        self.reads.append((offset, response))
        return await response

    def answer_snapshot(self, number, end):
        page = NewestPage(records(0, end), has_more=False, end=end)
        self.snapshots[number].callback(page)

    def answer_read(self, number, end):
        offset, response = self.reads[number]
        response.callback(Page(records(offset, end), end, end))


@attrs.define
class Replica:
    """The offsets that a follower applied since its last snapshot."""

    offsets: list = attrs.field(factory=list)

    def begin_snapshot(self, newest):
        self.offsets = []

    def take_record(self, record):
        self.offsets.append(record.offset)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def replica():
    return Replica()


@pytest.fixture
def follower(store, replica):
    reactor = Clock()
    clock = VirtualClock(reactor)
    handlers = TopicHandlers(replica.take_record, begin_snapshot=replica.begin_snapshot)
    events = EventLog(clock, GatewayMetrics("n"))
    return TopicFollower("keyed.t", 0, store, reactor, clock, events, handlers)


def catch_up(follower):
    return Deferred.fromCoroutine(follower.catch_up())


def test_late_response_with_an_older_snapshot_does_not_undo_a_newer_one(
    follower, store, replica
):
    follower.start()
    catch_up(follower)
    store.answer_snapshot(1, end=9)
    store.answer_snapshot(0, end=5)
    assert replica.offsets == list(range(9))


def test_no_record_is_left_out_when_two_snapshots_and_reads_overlap(
    follower, store, replica
):
    follower.start()
    catch_up(follower)
    store.answer_snapshot(1, end=9)
    later = catch_up(follower)
    store.answer_snapshot(0, end=5)
    for number in range(len(store.reads)):
        store.answer_read(number, end=12)
    assert later.called
    assert replica.offsets == list(range(12))


def test_history_lost_during_a_read_does_not_break_the_other_reader(
    follower, store, replica
):
    follower.start()
    store.answer_snapshot(0, end=5)
    outcome = []
    catch_up(follower).addBoth(outcome.append)
    store.reads[0][1].errback(HistoryLostError(9))
    store.answer_read(1, end=7)
    for number in range(1, len(store.snapshots)):
        store.answer_snapshot(number, end=10)
    for number in range(2, len(store.reads)):
        store.answer_read(number, end=10)
    assert replica.offsets == list(range(10))
    assert outcome == [None]


@pytest.mark.parametrize("is_in_snapshot", [True, False])
def test_record_that_cannot_be_applied_does_not_end_the_following(
    follower, store, replica, is_in_snapshot
):
    take_record = replica.take_record
    odd = 2 if is_in_snapshot else 6

    def take(record):
        if record.offset == odd:
            raise OverflowError("too large")
        take_record(record)

    handlers = TopicHandlers(take, begin_snapshot=replica.begin_snapshot)
    follower._handlers = handlers
    follower.start()
    store.answer_snapshot(0, end=5)
    store.answer_read(0, end=9)
    store.answer_read(1, end=12)
    assert replica.offsets == [n for n in range(12) if n != odd]


def test_follower_that_is_stopped_reads_no_more_and_reports_no_error(follower, store):
    lines = []
    handler = logger.add(lines.append, format="{message}")
    follower.start()
    follower.stop()
    follower._reactor.advance(STORE_RETRY_MAX_S)
    logger.remove(handler)
    assert lines == []
    assert not follower._reactor.getDelayedCalls()
    assert len(store.snapshots) == 1


def test_unexpected_error_does_not_end_the_following(follower, store, replica):
    follower.start()
    store.snapshots[0].errback(RecursionError("too deep"))
    follower._reactor.advance(STORE_RETRY_MAX_S)
    store.answer_snapshot(1, end=5)
    assert replica.offsets == list(range(5))


class BootClock(VirtualClock):
    """A clock that goes on by the time that the reactor does not count."""

    suspended_s = 0.0

    def boottime(self):
        return self.reactor.seconds() + self.suspended_s


def test_confirmation_counts_from_the_request_of_its_read(store, replica):
    """Guards against a lease that a delayed response extends."""
    reactor = Clock()
    clock, confirmed = BootClock(reactor), []
    handlers = TopicHandlers(replica.take_record, confirmed_since=confirmed.append)
    events = EventLog(clock, GatewayMetrics("n"))
    follower = TopicFollower("keyed.t", 0, store, reactor, clock, events, handlers)
    catch_up(follower)
    reactor.advance(2.0)
    store.answer_snapshot(0, 3)
    catch_up(follower)
    reactor.advance(1.0)
    clock.suspended_s = 10.0
    store.answer_read(0, 3)
    catch_up(follower)
    store.answer_read(1, 3)
    assert confirmed == [0.0, 2.0, 13.0]
