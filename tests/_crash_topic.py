"""A topic in memory that gateways reach over links of their own, in virtual time."""

from collections import namedtuple

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from pomeloshift.platform import (
    HistoryLostError,
    KeyedRecord,
    NewestPage,
    Page,
    StoreNoResponseError,
    StoreUnreachableError,
)
from pomeloshift.platform._store import CALL_TIMEOUT_S

STEP_S = 0.1
Append = namedtuple("Append", "done")


class Topic:
    """A topic that is its own client and writer."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.records = []
        self.is_down = False
        self.first = 0
        self.keys = 0

    async def newest(self, topic, partition, after=""):
        self._check()
        last = {record.key: record for record in self.records}
        kept = [record for record in last.values() if record.value is not None]
        return NewestPage(kept, False, len(self.records))

    async def read(self, topic, partition, offset, wait_s):
        self._check()
        if offset < self.first:
            raise HistoryLostError(self.first)
        if offset == len(self.records):
            await deferLater(self.reactor, STEP_S, lambda: None)
            self._check()
        return Page(self.records[offset:], len(self.records), len(self.records))

    def append(self, records):
        for key, value in records:
            self.records.append(KeyedRecord(len(self.records), key, value))
        return Append(succeed(0))

    def new_key(self, owner):
        self.keys += 1
        return f"{owner}/{self.keys}"

    has_unwritten = False

    def stop(self):
        pass

    def live_keys(self):
        last = {record.key: record.value for record in self.records}
        return {key for key, value in last.items() if value is not None}

    def _check(self):
        if self.is_down:
            raise StoreUnreachableError("down")


class SilentStore(Topic):
    """A topic whose store does not answer calls that begin before ``silent_until``."""

    def __init__(self, reactor):
        super().__init__(reactor)
        self.silent_until = 0.0

    async def newest(self, topic, partition, after=""):
        return await self._answer(2 * CALL_TIMEOUT_S, super().newest(topic, partition))

    async def read(self, topic, partition, offset, wait_s):
        timeout_s = wait_s + CALL_TIMEOUT_S
        return await self._answer(
            timeout_s, super().read(topic, partition, offset, wait_s)
        )

    async def append(
        self,
        topic,
        partition,
        records,
        producer,
        sequence,
        timeout_s=CALL_TIMEOUT_S,
        epoch=1,
    ):
        async def apply():
            super(SilentStore, self).append(records)
            return 0

        return await self._answer(timeout_s, apply())

    async def _answer(self, timeout_s, call):
        if self.reactor.seconds() < self.silent_until:
            call.close()
            await deferLater(self.reactor, timeout_s, lambda: None)
            raise StoreNoResponseError("silent")
        return await call


@attrs.define(eq=False)
class Link(Topic):
    """One gateway's way to a topic; while it is down, appends wait."""

    topic: Topic
    is_down: bool = False
    _queue: list = attrs.field(factory=list)

    @property
    def reactor(self):
        return self.topic.reactor

    @property
    def records(self):
        return self.topic.records

    def new_key(self, owner):
        return self.topic.new_key(owner)

    @property
    def first(self):
        return self.topic.first

    def append(self, records):
        done = Deferred()
        self._queue.append((records, done))
        if not self.is_down:
            self.restore()
        return Append(done)

    def restore(self):
        self.is_down = False
        queue, self._queue = self._queue, []
        for records, done in queue:
            self.topic.append(records)
            done.callback(0)
