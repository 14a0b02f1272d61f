"""Appends to a store that loses, delays and refuses calls, in virtual time."""

import attrs
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from pomeloshift.appends import CallPace
from pomeloshift.errors import Ran
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._log_writer import LogWriter
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.net import SystemClock
from pomeloshift.platform import (
    KeyedRecord,
    MalformedError,
    NewestPage,
    SequenceError,
    StoreFullError,
    StoreNoResponseError,
    StoreRejectedError,
    StoreUnreachableError,
)
from pomeloshift.standins.platform import Partition

SILENCE_S = 1.0  # after which a call counts as lost
LATE_S = (1.0, 2.5, 6.0)
WAIT_S = 1.6
# Longer than all delays together, so that each append is settled.
HEAL_S = 60.0
FATES = {
    "full": lambda: StoreFullError("507"),
    "malformed": lambda: MalformedError("400 or 412"),
    "rejected": lambda: StoreRejectedError("503"),
    "unreachable": lambda: StoreUnreachableError("refused"),
    "out of order": lambda: SequenceError("409", None),
}
LOST = ("lost before", "lost after", *LATE_S)


class FaultyStore:
    """Applies the fates in ``fates`` to the next calls; after them all calls work."""

    def __init__(self, clock):
        self.clock = clock
        self.partition = Partition()
        self.fates = []

    def append(
        self, topic, number, records, producer, sequence, timeout_s=SILENCE_S, epoch=1
    ):
        fate = self.fates.pop(0) if self.fates else "done"
        if fate in FATES:
            return fail(FATES[fate]())
        call = [_encode(*record) for record in records], producer, epoch, sequence
        done = Deferred()
        if fate in LOST:
            if fate == "lost after":
                self.partition.append(*call)
            elif fate != "lost before":
                self.clock.callLater(fate, self.partition.append, *call)
            lost = StoreNoResponseError("lost")
            self.clock.callLater(timeout_s, done.errback, lost)
            return done
        result = self.partition.append(*call)
        if hasattr(result, "why"):
            return fail(SequenceError(result.why, result.expected))
        done.callback(result.offset)
        return done

    async def newest(self, topic, number, after=""):
        rows = [
            KeyedRecord(offset, key, value)
            for key, (offset, value) in self.partition.newest().items()
            if key > after
        ]
        # Small pages, so that a look-up needs several.
        return NewestPage(rows[:2], len(rows) > 2, len(self.partition.records))

    def offsets_of(self, key):
        found = _encode(key, b"")
        return [
            offset
            for offset, record in enumerate(self.partition.records)
            if record.startswith(found)
        ]


def _encode(key, value):
    return bytes([len(key)]) + key.encode() + (value or b"")


@attrs.define
class Told:
    """An append and what its caller was told: an offset, an error or nothing yet."""

    key: str
    count: int
    until: float
    outcome: object = None


class AppendMachine(RuleBasedStateMachine):
    """What callers were told stays true, and every wait ends."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.store = FaultyStore(self.clock)
        self.told = []
        self.writers = []
        self.started = 0
        for _ in range(2):
            self.writers.append(self._start())

    def _start(self):
        self.started += 1
        clock = SystemClock()
        events = EventLog(clock, GatewayMetrics("g"))
        name = f"p{self.started}"
        pace = CallPace(100, SILENCE_S)
        return LogWriter("t", 0, self.store, name, pace, self.clock, events)

    @rule(
        at=st.integers(0, 1),
        count=st.integers(1, 3),
        has_removal=st.booleans(),
        timeout_s=st.sampled_from([0.2, WAIT_S, 30.0]),
    )
    def append(self, at, count, has_removal, timeout_s):
        writer = self.writers[at]
        key = writer.new_key("job")
        records = [(f"{key}#{n}", b"value") for n in range(count)]
        if has_removal:
            writer.append([("job/other#0", None)]).done.addErrback(lambda failure: None)
        told = Told(key, count, self.clock.seconds() + timeout_s)
        waiting = Deferred.fromCoroutine(writer.wait(writer.append(records), timeout_s))
        waiting.addCallbacks(
            lambda offset: setattr(told, "outcome", offset),
            lambda failure: setattr(told, "outcome", failure.value),
        )
        self.told.append(told)

    @rule(fates=st.lists(st.sampled_from([*FATES, *LOST, "done"]), max_size=5))
    def trouble(self, fates):
        self.store.fates = list(fates)

    @rule(
        at=st.integers(0, 1),
        count=st.integers(1, 2),
        lost=st.sampled_from(LOST),
        refusal=st.sampled_from(["full", "malformed", "out of order"]),
        others=st.lists(st.sampled_from([*FATES, *LOST]), max_size=2),
        seconds=st.sampled_from([1.3, 2.0, 4.0]),
    )
    def lose_then_refuse(self, at, count, lost, refusal, others, seconds):
        """The case that a refused repeat was taken for the end of."""
        self.store.fates = [lost, refusal, *others]
        self.append(at, count, False, 30.0)
        self.advance(seconds)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.7, 1.0, 3.0]))
    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    @rule(at=st.integers(0, 1))
    def fence(self, at):
        """Another process uses the writer's name with a higher epoch."""
        writer = self.writers[at]
        epoch = writer._sequence.epoch + 1
        self.store.partition.append([], writer._producer, epoch, 7)

    @rule(at=st.integers(0, 1))
    def kill_and_restart(self, at):
        self.writers[at].stop()
        self.writers[at] = self._start()

    @invariant()
    def waits_end_by_their_deadlines(self):
        for told in self.told:
            assert told.outcome is not None or self.clock.seconds() <= told.until

    @invariant()
    def no_record_is_stored_twice(self):
        for told in self.told:
            assert len(self.store.offsets_of(f"{told.key}#0")) <= 1

    @invariant()
    def what_was_told_is_true(self):
        for told in self.told:
            offsets = [
                self.store.offsets_of(f"{told.key}#{n}") for n in range(told.count)
            ]
            if isinstance(told.outcome, int):
                first = told.outcome
                assert offsets == [[first + n] for n in range(told.count)]
            elif getattr(told.outcome, "ran", None) is Ran.NO:
                assert offsets == [[]] * told.count

    def teardown(self):
        self.store.fates = []
        for _ in range(round(HEAL_S / 0.05)):
            self.clock.advance(0.05)
        self.waits_end_by_their_deadlines()
        self.no_record_is_stored_twice()
        self.what_was_told_is_true()
        assert not any(writer.has_unwritten for writer in self.writers)
