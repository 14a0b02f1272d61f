"""A snapshot in several pages, between which records are removed."""

import pytest

from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.gateway._topic_follower import TopicFollower, TopicHandlers
from pomeloshift.net import SystemClock
from pomeloshift.platform import KeyedRecord, NewestPage, Page


class PagedStore:
    """A topic with one key on each page; ``after_page`` is called after each page."""

    def __init__(self):
        self.log = []
        self.after_page = lambda number: None
        self._pages = 0

    def write(self, *rows):
        self.log += rows

    async def newest(self, topic, partition, after=""):
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
        return Page(rows, len(self.log), len(self.log))


@pytest.fixture
def store():
    return PagedStore()


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
