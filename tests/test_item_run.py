import attrs
import pytest
from twisted.internet.defer import Deferred, succeed

from _gateway import events
from pomeloshift.dispatch import (
    CrashKeys,
    Engine,
    EngineRecord,
    SoftwareVersion,
    WatchedRun,
)
from pomeloshift.gateway._blob_store import BlobLostError
from pomeloshift.gateway._item_run import ItemRun, RunEnd
from pomeloshift.http1 import Chunk, Headers, ResponseEnd, ResponseHead
from pomeloshift.jobs import BlobRef, DurableProgress, Progress, WorkItem
from test_jobs_cores import Log, submitted

SOFTWARE = SoftwareVersion("lm", "v1")
STAMPED = Headers([(b"X-Response-Stamp", b"s.1")])


def head(status, *fields):
    return ResponseHead(status, Headers([*STAMPED, *fields]))


class Blobs:
    """Holds the bodies of items; all other blobs are lost."""

    def get(self, ref):
        if ref.key.startswith("blob"):
            return succeed(b"body")
        raise BlobLostError(ref.key)


class SlowBlobs:
    """Delivers a body later."""

    def __init__(self):
        self.body = Deferred()

    def get(self, ref):
        return self.body


@attrs.define
class Access:
    """Sends requests to an engine with scripted responses; records what is noted."""

    response: list
    sent: list = attrs.field(factory=list)
    noted: list = attrs.field(factory=list)
    claims: list = attrs.field(factory=list)

    @property
    def events(self):
        return self

    def now(self):
        return 0.0

    def claim(self, work, event_id):
        self.claims.append(event_id)
        return succeed(0)

    def is_current(self, engine):
        return succeed(True)

    def warn(self, event, **fields):
        self.noted.append(event)

    def send(self, engine, head, body, is_batch):
        self.sent.append(head)
        return succeed(self)

    def next(self, timeout_s):
        return succeed(self.response.pop(0))

    def close(self):
        pass

    def note_full(self, engine):
        self.noted.append("full")

    def note_replaced(self, engine):
        self.noted.append("replaced")

    def note_failed(self, engine, why, request_id):
        self.noted.append("failed")


class Crashes:
    """Records no crashes."""

    def watch(self, keys, engine, request_id, is_trial):
        return WatchedRun(keys, engine, 1, "crash", request_id, is_trial)

    def unwatch(self, run):
        pass

    def note_answered(self, keys, request_id):
        pass


@pytest.fixture
def run_item():
    """Runs an item against a scripted response; returns the run and how it ended."""

    def run_item(response, stored=None, known=None):
        log = Log()
        log.add(submitted("j1", items=1))
        job = log.replay().jobs["j1"]
        if stored is not None:
            ref = BlobRef("lost", 7, 5, 1)
            job.note_progress(0, DurableProgress(stored, ref, SOFTWARE))
        record = EngineRecord("e1", "lm", "10.0.0.1:80", "a", 8, False, 1, "v1")
        access, work = Access(response), WorkItem(job, 0, 18.0)
        run = ItemRun(
            access,
            Blobs(),
            work,
            Engine(record),
            known,
            access.claim,
            Crashes(),
            CrashKeys(),
        )
        return run, Deferred.fromCoroutine(run.run()).result

    return run_item


@pytest.mark.parametrize(
    ("response", "noted"),
    [
        (head(421, (b"X-Instance-Id", b"e2")), "replaced"),
        (head(503, (b"X-Not-Executed", b"1")), "full"),
    ],
)
def test_engine_at_whose_address_another_one_responds_is_not_just_full(
    run_item, response, noted
):
    run, end = run_item([response])
    assert end is RunEnd.NOT_RUN
    assert run.access.noted == [noted]


@pytest.mark.parametrize(
    ("known", "resumed_after"), [(None, 0), (Progress(2, b"word1\nword2", SOFTWARE), 2)]
)
def test_item_whose_stored_progress_is_lost_still_runs(run_item, known, resumed_after):
    data = events(resumed_after + 1, 4)
    response = [head(200), Chunk(data), ResponseEnd()]
    run, end = run_item(response, stored=3, known=known)
    assert end is RunEnd.COMPLETE
    text = b"word1\nword2\nword3\nword4"
    assert run.progress == Progress(4, text, SOFTWARE)
    assert run.resumed_after == resumed_after
    (sent,) = run.access.sent
    expected = b"%d" % resumed_after if resumed_after else None
    assert sent.headers.get(b"last-event-id") == expected
    assert run.access.noted == ["progress_lost"]
    assert run.access.claims == ([resumed_after] if resumed_after else [])


@pytest.mark.parametrize("change", ["is_leaving", "is_gone"])
def test_item_is_not_sent_to_an_engine_that_left_while_its_body_was_read(change):
    log = Log()
    log.add(submitted("j1", items=1))
    work = WorkItem(log.replay().jobs["j1"], 0, 18.0)
    engine = Engine(EngineRecord("e1", "lm", "10.0.0.1:80", "a", 8, False, 1, "v1"))
    access, blobs = Access([]), SlowBlobs()
    run = ItemRun(
        access, blobs, work, engine, None, access.claim, Crashes(), CrashKeys()
    )
    end = Deferred.fromCoroutine(run.run())
    setattr(engine, change, True)
    blobs.body.callback(b"body")
    assert (end.result, access.sent) == (RunEnd.NOT_RUN, [])


def test_item_is_not_sent_if_the_lease_expires_while_its_body_is_read():
    """Guards against items that a frozen process sends when it wakes."""
    log = Log()
    log.add(submitted("j1", items=1))
    work = WorkItem(log.replay().jobs["j1"], 0, 18.0)
    engine = Engine(EngineRecord("e1", "lm", "10.0.0.1:80", "a", 8, False, 1, "v1"))
    access, blobs, lease = Access([]), SlowBlobs(), [True]
    run = ItemRun(
        access,
        blobs,
        work,
        engine,
        None,
        access.claim,
        Crashes(),
        CrashKeys(),
        may_start=lambda: lease[0],
    )
    end = Deferred.fromCoroutine(run.run())
    lease[0] = False
    blobs.body.callback(b"body")
    assert (end.result, access.sent) == (RunEnd.NOT_RUN, [])
