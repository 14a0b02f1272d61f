"""Uploads to a store that loses, delays and rejects calls, in virtual time."""

from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from _append_machine import HEAL_S, LATE_S, SILENCE_S, FaultyStore
from pomeloshift.appends import CallPace
from pomeloshift.gateway._blob_store import BlobStore
from pomeloshift.gateway._events import EventLog
from pomeloshift.gateway._log_writer import LogWriter
from pomeloshift.gateway._metrics import GatewayMetrics
from pomeloshift.net import SystemClock

FATES = ["rejected", "unreachable", "out of order", "lost before", "lost after"]
UPLOADS = 12
STEP_S = 0.05


@pytest.mark.parametrize("seed", range(60))
def test_upload_is_stored_completely_or_not_at_all(seed):
    """The records of an upload that failed stayed in the store for good."""
    random, clock = Random(seed), Clock()
    store = FaultyStore(clock)
    events = EventLog(SystemClock(), GatewayMetrics("g"))
    writer = LogWriter("t", 0, store, "p", CallPace(60, SILENCE_S), clock, events)
    blobs = BlobStore(store, writer, 330, events)
    uploads = []
    for number in range(UPLOADS):
        if random.random() < 0.7:
            count = random.randrange(6)
            store.fates = [
                random.choice([*FATES, *LATE_S, "done"]) for _ in range(count)
            ]
        bodies = [bytes([65 + n]) * random.randrange(90) for n in range(5)]
        times = random.choice([0.3, 1.5, 4.0]), random.choice([None, 0.2, 1.2])
        put = Deferred.fromCoroutine(blobs.put(f"j{number}", bodies, *times))
        put.addErrback(lambda failure: None)
        uploads.append((f"j{number}", bodies, put))
        if random.random() < 0.2:
            clock.callLater(random.random(), put.cancel)
        for _ in range(random.randrange(40)):
            clock.advance(STEP_S)
    store.fates = []
    for _ in range(round(HEAL_S / STEP_S)):
        clock.advance(STEP_S)
    assert not writer.has_unwritten
    stored = store.partition.newest()
    for owner, bodies, put in uploads:
        found = {key for key in stored if key.startswith(f"{owner}/")}
        if put.result is None:
            assert not found
            continue
        assert found == {key for ref in put.result for key in ref.fragment_keys()}
        for ref, body in zip(put.result, bodies, strict=True):
            assert store.partition.records[ref.offset].endswith(body[:30])
