"""A snapshot in several pages, between which records are removed."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from _virtual import VirtualClock
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._topic_follower import TopicFollower, TopicHandlers
from pomeloshift.net import SystemClock
from pomeloshift.platform import (
    HistoryLostError,
    KeyedRecord,
    NewestPage,
    Page,
    StoreNoResponseError,
)


class PagedStore:
    """A topic with one key on each page; ``after_page`` is called after each page.

    Reads of the pages after the keys in ``lost`` fail once each. ``asked`` lists the
    keys after which pages were read.
    """

    def __init__(self):
        self.log = []
        self.lost = []
        self.asked = []
        self.after_page = lambda number: None
        self._pages = 0

    def write(self, *rows):
        self.log += rows

    async def newest(self, topic, partition, after=""):
        if after in self.lost:
            self.lost.remove(after)
            raise StoreNoResponseError("no response in time")
        self.asked.append(after)
        known = {}
        for offset, (key, value) in enumerate(self.log):
            known.pop(key, None)
            if value is not None:
                known[key] = KeyedRecord(offset, key, value)
        rows = [known[key] for key in sorted(known) if key > after]
        page = NewestPage(rows[:1], len(rows) > 1, len(self.log))
        self._pages += 1
        self.after_page(self._pages)
        return page

    async def read(self, topic, partition, offset, wait_s, max_kb=None):
        rows = [
            KeyedRecord(offset + n, key, value)
            for n, (key, value) in enumerate(self.log[offset:])
        ]
        if wait_s > 0 and not rows:
            await Deferred()
        return Page(rows, len(self.log), len(self.log))


@pytest.fixture
def store():
    return PagedStore()


@pytest.fixture
def start(store):
    """Starts a follower in virtual time; returns it and the keys that it applied."""

    def start():
        reactor, found = Clock(), []
        handlers = TopicHandlers(lambda record: found.append(record.key))
        events = EventLog(VirtualClock(reactor), GatewayMetrics("g"))
        clock = VirtualClock(reactor)
        follower = TopicFollower("t", 0, store, reactor, clock, events, handlers, 0.1)
        follower.start()
        return follower, found

    return start


def test_keys_removed_between_two_pages_are_left_out_together(
    store, reactor, run_async
):
    """A job's record was read without the ends of its items, as if it were open."""
    store.write(("a/job", b"1"), ("a/settled", b"2"), ("b/job", b"3"))

    def remove(number):
        if number == 1:
            store.write(("a/job", None), ("a/settled", None), ("c/job", b"4"))

    store.after_page = remove
    clock = SystemClock()
    found, later = [], []
    handlers = TopicHandlers(
        lambda record: later.append((record.key, record.value)),
        in_snapshot=lambda record: found.append(record.key),
    )
    events = EventLog(clock, GatewayMetrics("g"))
    follower = TopicFollower("t", 0, store, reactor, clock, events, handlers)
    run_async(follower.catch_up())
    assert found == ["b/job"]
    run_async(follower.catch_up())
    assert later == [("a/job", None), ("a/settled", None), ("c/job", b"4")]


def test_pages_that_were_read_are_not_read_again_after_a_failure(store, start):
    """Each failure led back to the first page: a slow path never got to the end."""
    store.write(*((key, b"1") for key in "abcde"))
    store.lost = ["b", "c"]
    follower, found = start()
    follower._reactor.pump([0.1] * 20)
    assert found == list("abcde")
    assert store.asked == ["", "a", "b", "c", "d"]
    follower.stop()


def test_pages_that_are_older_than_the_history_are_read_again(store, start):
    store.write(*((key, b"1") for key in "abc"))
    store.lost = ["b"]
    read, losses = store.read, [HistoryLostError(4)]

    async def lose_history(*args, **options):
        if losses:
            raise losses.pop()
        return await read(*args, **options)

    def write_more(number):
        if number == 2:
            store.write(("d", b"1"))

    store.read, store.after_page = lose_history, write_more
    follower, found = start()
    follower._reactor.pump([0.1] * 20)
    assert sorted(found) == list("abcd")
    assert store.asked == ["", "a", "b", "c", "", "a", "b", "c"]
    follower.stop()


def test_pages_are_dropped_once_another_read_has_the_snapshot(store, start):
    """They stayed in memory, as the loop had no use for them any more."""
    store.write(*((key, b"1") for key in "abc"))
    store.lost = ["b"]
    follower, found = start()
    assert follower._pages.after == "b"
    follower._is_reachable = True  # The other read began before the failure.
    Deferred.fromCoroutine(follower.catch_up())
    assert found == list("abc")
    assert follower._pages is None
    follower.stop()
