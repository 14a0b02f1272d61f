import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from _partition import job_records
from pomeloshift.batch import (
    AttemptStarted,
    AttemptWithdrawn,
    Carried,
    FileChunkStored,
    FileCreated,
    FileDeleted,
    ItemCompleted,
    ItemStatus,
    ItemStruck,
    JobCancelled,
    JobExpired,
    PartitionReplay,
    PartitionState,
    Retention,
    StreamGapError,
    expiry_records,
    is_checkpoint_due,
    job_codec,
    records_to_copy,
    restore_state,
    snapshot_state,
)
from pomeloshift.errors import ErrorCode, ErrorReport
from pomeloshift.log import (
    Checkpoint,
    LogPage,
    Record,
    StoredRecord,
    checkpoint_records,
)

ITEMS = 3
KEYS = ("plain", "claimed")
CODEC = job_codec()
ERROR = ErrorReport(ErrorCode.ITEM_FAILED, "no")


def job_id_of(key):
    return job_records(key)[0]


def file_records(file_id="file-000-a", writer="e1"):
    return [
        Record(f"{file_id}/0", FileChunkStored(file_id, 0, b"ab")),
        Record(f"{file_id}/1", FileChunkStored(file_id, 1, b"c")),
        Record(
            f"{file_id}/created/{writer}",
            FileCreated(file_id, "w", "f", "batch", 3, 2, 1000.0),
        ),
    ]


jobs = st.sampled_from([job_id_of(key) for key in KEYS])
indexes = st.integers(-1, ITEMS)
counts = st.integers(1, 3)
leases = st.sampled_from(["l1", "l2", "l3"])


class ReplayMachine(RuleBasedStateMachine):
    """Appends records in any order; compares the state with replays of the stream.

    Replays get most pages twice. One starts from offset 0, and one from each complete
    checkpoint, on a stream that begins right at the offset of that checkpoint.
    """

    @initialize()
    def begin(self):
        self.state = PartitionState()
        self.stored = []
        self.checkpoints = []
        self.finished = {}
        self.claimed = {}
        self.withdrawn = set()

    def append(self, body, record_id=None):
        record = Record(record_id or f"r{len(self.stored)}", body)
        offset = len(self.stored)
        self.stored.append(StoredRecord(offset, CODEC.encode(record)))
        if self.state.apply(offset, record):
            self.track(body)

    def track(self, body):
        key = (getattr(body, "job_id", None), getattr(body, "index", None))
        if isinstance(body, ItemCompleted) and key[0] == job_id_of("claimed"):
            assert self.claimed[key] == body.attempt_id
        elif isinstance(body, AttemptStarted):
            assert key not in self.claimed
            assert (*key, body.attempt_id) not in self.withdrawn
            self.claimed[key] = body.attempt_id
        elif isinstance(body, AttemptWithdrawn):
            assert self.claimed.pop(key) == body.attempt_id
            self.withdrawn.add((*key, body.attempt_id))
        elif isinstance(body, JobExpired):
            self.finished = {k: v for k, v in self.finished.items() if k[0] != key[0]}
            self.claimed = {k: v for k, v in self.claimed.items() if k[0] != key[0]}
            self.withdrawn = {k for k in self.withdrawn if k[0] != key[0]}

    @rule(key=st.sampled_from(KEYS), digest=st.sampled_from("ab"), upto=counts)
    def create_job(self, key, digest, upto):
        _, records = job_records(
            key, ITEMS, digest=digest, chunk_items=2, is_repeatable=key == "plain"
        )
        for record in records[:upto]:
            self.append(record.body, record.record_id)

    @rule(upto=counts, writer=st.sampled_from(["e1", "e2"]))
    def create_file(self, upto, writer):
        for record in file_records(writer=writer)[:upto]:
            self.append(record.body, record.record_id)

    @rule(at=st.floats(0, 100))
    def delete_file(self, at):
        self.append(FileDeleted("file-000-a", at))
        assert "file-000-a" not in self.state.files

    @rule(job_id=jobs, index=indexes, lease=leases, is_success=st.booleans())
    def complete(self, job_id, index, lease, is_success):
        error = None if is_success else ERROR
        self.append(ItemCompleted(job_id, index, lease, 200, b"{}", 1, 10.0, error))

    @rule(job_id=jobs, index=indexes, lease=leases, is_certain=st.booleans())
    def crash(self, job_id, index, lease, is_certain):
        self.append(ItemStruck(job_id, index, lease, is_certain, 11.0))

    @rule(job_id=jobs, index=indexes, lease=leases)
    def claim(self, job_id, index, lease):
        self.append(AttemptStarted(job_id, index, lease, "s1"))

    @rule(job_id=jobs, index=indexes, lease=leases)
    def withdraw(self, job_id, index, lease):
        self.append(AttemptWithdrawn(job_id, index, lease))

    @rule(job_id=jobs)
    def cancel(self, job_id):
        self.append(JobCancelled(job_id, 12.0))

    @rule(job_id=jobs, at=st.floats(0, 100))
    def expire(self, job_id, at):
        self.append(JobExpired(job_id, at))

    @precondition(lambda self: self.stored)
    @rule(data=st.data())
    def repeat(self, data):
        stored = data.draw(st.sampled_from(self.stored))
        record = CODEC.decode(stored.data)
        self.append(record.body, record.record_id)

    @precondition(lambda self: self.stored)
    @rule(data=st.data(), number=st.integers(0, ITEMS))
    def copy_forward(self, data, number):
        stored = data.draw(st.sampled_from(self.stored))
        owner_id = data.draw(jobs | st.just("file-000-a"))
        self.append(Carried(owner_id, number, stored.offset, 13.0, stored.data))

    @rule()
    def take_checkpoint(self):
        ident = f"c{len(self.checkpoints)}"
        checkpoint = Checkpoint(ident, len(self.stored), snapshot_state(self.state))
        self.checkpoints.append(checkpoint)

    @precondition(lambda self: self.checkpoints)
    @rule(data=st.data(), is_complete=st.booleans())
    def append_checkpoint(self, data, is_complete):
        checkpoint = data.draw(st.sampled_from(self.checkpoints))
        records = checkpoint_records(checkpoint, part_bytes=200)
        for record in records if is_complete else records[:-1]:
            self.append(record.body, record.record_id)

    @invariant()
    def finished_item_never_changes(self):
        for job in self.state.jobs.values():
            for index, status in enumerate(job.status):
                key = (job.job_id, index)
                if status != ItemStatus.WAITING:
                    assert self.finished.setdefault(key, status) == status
            assert job.completed == job.status.count(ItemStatus.COMPLETED)
            assert job.failed == job.status.count(ItemStatus.FAILED)

    def teardown(self):
        if not hasattr(self, "state"):
            return
        expected = snapshot_state(self.state)
        assert snapshot_state(self.replay(0)) == expected
        last = Checkpoint("last", len(self.stored), expected)
        for checkpoint in [*self.checkpoints, last]:
            state = restore_state(checkpoint)
            for stored in self.stored[checkpoint.as_of :]:
                state.apply(stored.offset, CODEC.decode(stored.data))
            assert snapshot_state(state) == expected
        offsets = self.complete_checkpoints()
        for as_of in offsets:
            state = self.replay(as_of)
            assert snapshot_state(state) == expected

    def complete_checkpoints(self):
        bodies = [CODEC.decode(each.data).body for each in self.stored]
        return {body.as_of for body in bodies if type(body).__name__ == "CheckpointEnd"}

    def replay(self, first):
        replay = PartitionReplay(CODEC)
        if first > 0:
            replay.restart(first)
        while not replay.is_done:
            start = replay.next_offset
            page = LogPage(
                first, len(self.stored), tuple(self.stored[start : start + 3])
            )
            replay.apply_page(page)
            if not replay.is_done and replay.next_offset == start + 3:
                replay.apply_page(page)
        return replay.state


TestReplay = ReplayMachine.TestCase
TestReplay.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.randoms())
def test_records_applied_again_change_nothing(rng):
    state = PartitionState()
    _, records = job_records("k", 3)
    for offset, record in enumerate(records):
        assert state.apply(offset, record)
    before = snapshot_state(state)
    offset = rng.randrange(len(records))
    assert not state.apply(offset, records[offset])
    assert snapshot_state(state) == before


def test_gap_in_a_stream_is_an_error():
    state = PartitionState()
    with pytest.raises(StreamGapError):
        state.apply(1, Record("r", JobCancelled("j", 0.0)))


def test_job_with_a_missing_chunk_is_not_accepted():
    state = PartitionState()
    job_id, records = job_records("k", 4, chunk_items=2)
    for offset, record in enumerate(records[1:]):
        state.apply(offset, record)
    assert job_id not in state.jobs


def test_late_duplicate_of_a_creation_does_not_recreate_a_deleted_file():
    state = PartitionState()
    records = file_records()
    deleted = Record("d", FileDeleted("file-000-a", 1.0))
    for offset, record in enumerate([*records, deleted, *records]):
        state.apply(offset, record)
    assert state.files == {}
    for offset, record in enumerate(file_records(writer="e2"), 7):
        state.apply(offset, record)
    assert list(state.files) == ["file-000-a"]


def test_stream_without_a_usable_checkpoint_has_lost_state():
    replay = PartitionReplay(CODEC)
    replay.restart(7)
    while not replay.is_done:
        replay.apply_page(LogPage(7, 7))
    assert replay.has_lost_state
    assert replay.state.next_offset == 7


def test_unreadable_record_is_counted_and_skipped():
    replay = PartitionReplay(CODEC)
    replay.apply_page(LogPage(0, 1, (StoredRecord(0, b"garbage"),)))
    assert (replay.is_done, replay.unreadable) == (True, 1)


def test_old_records_are_copied_forward_and_finished_jobs_expire():
    state = PartitionState()
    job_id, records = job_records("k", 2, created_at=1000.0)
    done = [
        Record(f"c{n}", ItemCompleted(job_id, n, "l", 200, b"", 1, 1100.0 + 100 * n))
        for n in range(2)
    ]
    for offset, record in enumerate([*file_records(), *records, *done]):
        state.apply(offset, record)
    retention = Retention(log_s=900.0, result_s=5000.0)
    assert list(records_to_copy(state, retention, 1250.0)) == []
    due = list(records_to_copy(state, retention, 1450.0))
    assert [(copy.owner_id, copy.offset) for copy in due] == [
        ("file-000-a", 0),
        ("file-000-a", 1),
        (job_id, 3),
        (job_id, 5),
    ]
    assert is_checkpoint_due(state, None, retention, 1300.0)
    assert not is_checkpoint_due(state, 1300.0, retention, 1400.0)
    assert is_checkpoint_due(state, 1300.0, retention, 1600.0)
    assert not is_checkpoint_due(PartitionState(), None, retention, 1600.0)
    kinds = [type(r.body) for r in expiry_records(state, retention, 6100.0)]
    assert kinds == [FileDeleted]
    kinds = [type(r.body) for r in expiry_records(state, retention, 6300.0)]
    assert kinds == [JobExpired, FileDeleted]


def test_snapshot_holds_every_field_of_a_job():
    state = PartitionState()
    job_id, records = job_records("k", 3, is_repeatable=False, metadata={"a": "b"})
    extra = [
        Record("s", AttemptStarted(job_id, 0, "l", "s1")),
        Record("x", ItemStruck(job_id, 1, "l", True, 1.0)),
        Record("t", AttemptStarted(job_id, 2, "m", "s1")),
        Record("u", AttemptWithdrawn(job_id, 2, "m")),
    ]
    for offset, record in enumerate([*records, *extra]):
        state.apply(offset, record)
    restored = restore_state(Checkpoint("c", state.next_offset, snapshot_state(state)))
    fields = attrs.asdict(state.jobs[job_id], recurse=False)
    assert all(fields[name] for name in ("strikes", "attempts", "withdrawn"))
    assert attrs.asdict(restored.jobs[job_id], recurse=False) == fields
