"""The state of a partition, replayed from its stream."""

from array import array
from collections.abc import Callable

from ..log import Record
from ._errors import StreamGapError
from ._file_state import FileState
from ._job_state import NO_OFFSET, Attempt, ItemStatus, JobState
from ._pending import PendingChunk, PendingChunks
from ._records import (
    AttemptStarted,
    AttemptWithdrawn,
    Carried,
    FileChunkStored,
    FileCreated,
    FileDeleted,
    ItemCompleted,
    ItemStruck,
    JobCancelled,
    JobChunkStored,
    JobCreated,
    JobExpired,
)
from ._time_index import TimeIndex

MAX_CERTAIN_CRASHES = 2
MAX_CRASHES = 4
MAX_PENDING = 256
MAX_DELETED_IDS = 4096


class PartitionState:
    """Files, jobs and items of a partition as of ``next_offset``.

    The same records in the same order give the same state at every entry. Repeated,
    late and contradictory records change nothing.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.files: dict[str, FileState] = {}
        self.jobs: dict[str, JobState] = {}
        self.pending: dict[str, PendingChunks] = {}
        self.deleted_ids: dict[str, None] = {}
        self.times = TimeIndex()

    def apply(self, offset: int, record: Record) -> bool:
        """Applies the record at ``offset``; returns whether it changed the state.

        Records before ``next_offset`` were applied already and change nothing. Raises
        `StreamGapError` for an offset after it.
        """
        if not self.advance(offset):
            return False
        at = getattr(record.body, "at", None) or getattr(
            record.body, "created_at", None
        )
        if at is not None:
            self.times.note(offset, at)
        handler = _handlers.get(type(record.body))
        if handler is None:
            return False
        return handler(self, offset, record)

    def advance(self, offset: int) -> bool:
        """Sets ``next_offset`` to ``offset + 1``; returns false if ``next_offset`` is
        already larger than ``offset``.

        Raises `StreamGapError` if records before ``offset`` are missing.
        """
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            raise StreamGapError(f"gap: offset {offset} follows {self.next_offset - 1}")
        self.next_offset = offset + 1
        return True

    def _store_file_chunk(self, offset: int, record: Record) -> bool:
        body: FileChunkStored = record.body
        if body.file_id in self.files:
            return False
        return self._add_pending(body.file_id, body.chunk, PendingChunk(offset))

    def _store_job_chunk(self, offset: int, record: Record) -> bool:
        body: JobChunkStored = record.body
        if body.job_id in self.jobs:
            return False
        chunk = PendingChunk(offset, body.first_index, body.tokens)
        return self._add_pending(_pending_key(body), body.chunk, chunk)

    def _add_pending(self, key: str, number: int, chunk: PendingChunk) -> bool:
        pending = self.pending.setdefault(key, PendingChunks())
        if len(self.pending) > MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        pending.chunks[number] = chunk
        return True

    def _create_file(self, offset: int, record: Record) -> bool:
        body: FileCreated = record.body
        if record.record_id in self.deleted_ids:
            return False
        known = self.files.get(body.file_id)
        if known is not None:
            known.record_ids.add(record.record_id)
            return False
        pending = self.pending.get(body.file_id)
        if pending is None or not pending.is_complete(body.chunks):
            return False
        del self.pending[body.file_id]
        offsets = (pending.chunks[n].offset for n in range(body.chunks))
        self.files[body.file_id] = FileState(
            body.file_id,
            body.workspace,
            body.filename,
            body.purpose,
            body.size,
            body.created_at,
            array("q", offsets),
            {record.record_id},
        )
        return True

    def _delete_file(self, offset: int, record: Record) -> bool:
        body: FileDeleted = record.body
        self.pending.pop(body.file_id, None)
        known = self.files.pop(body.file_id, None)
        if known is None:
            return False
        self.deleted_ids.update(dict.fromkeys(sorted(known.record_ids)))
        while len(self.deleted_ids) > MAX_DELETED_IDS:
            del self.deleted_ids[next(iter(self.deleted_ids))]
        return True

    def _create_job(self, offset: int, record: Record) -> bool:
        body: JobCreated = record.body
        pending = self.pending.pop(_pending_key(body), None)
        if body.job_id in self.jobs or body.items == 0:
            return False
        if pending is None or not pending.is_complete(body.chunks):
            return False
        chunks = [pending.chunks[number] for number in range(body.chunks)]
        tokens = array("I", (count for chunk in chunks for count in chunk.tokens))
        if len(tokens) != body.items:
            return False
        self.jobs[body.job_id] = JobState(
            body.job_id,
            body.digest,
            body.workspace,
            body.service,
            body.endpoint,
            body.input_file_id,
            body.completion_window,
            body.window_s,
            body.idempotency_key,
            body.created_at,
            body.is_repeatable,
            dict(body.metadata),
            array("q", (chunk.offset for chunk in chunks)),
            array("q", (chunk.first_index for chunk in chunks)),
            tokens,
            bytearray(body.items),
            array("q", [NO_OFFSET]) * body.items,
        )
        return True

    def _cancel_job(self, offset: int, record: Record) -> bool:
        job = self.jobs.get(record.body.job_id)
        if job is None or job.is_over:
            return False
        job.cancelled_at = record.body.at
        job.strikes.clear()
        job.attempts.clear()
        job.withdrawn.clear()
        return True

    def _expire_job(self, offset: int, record: Record) -> bool:
        job = self.jobs.get(record.body.job_id)
        if job is None or job.ended_at is None or record.body.at < job.ended_at:
            return False
        del self.jobs[job.job_id]
        return True

    def _start_attempt(self, offset: int, record: Record) -> bool:
        body: AttemptStarted = record.body
        job = self._job_with_waiting_item(body.job_id, body.index)
        if job is None or body.index in job.attempts:
            return False
        if body.attempt_id in job.withdrawn.get(body.index, ()):
            return False
        job.attempts[body.index] = Attempt(body.attempt_id, body.instance)
        return True

    def _withdraw_attempt(self, offset: int, record: Record) -> bool:
        body: AttemptWithdrawn = record.body
        job = self._job_with_waiting_item(body.job_id, body.index)
        attempt = job.attempts.get(body.index) if job is not None else None
        if job is None or attempt is None or attempt.attempt_id != body.attempt_id:
            return False
        del job.attempts[body.index]
        earlier = job.withdrawn.get(body.index, ())
        job.withdrawn[body.index] = (*earlier, body.attempt_id)
        return True

    def _count_crash(self, offset: int, record: Record) -> bool:
        body: ItemStruck = record.body
        job = self._job_with_waiting_item(body.job_id, body.index)
        if job is None:
            return False
        crashes = job.strikes.setdefault(body.index, {})
        if crashes.get(body.lease_id) in (True, body.is_certain):
            return False
        crashes[body.lease_id] = body.is_certain
        certain = sum(crashes.values())
        if certain >= MAX_CERTAIN_CRASHES or len(crashes) >= MAX_CRASHES:
            job.finish_item(body.index, ItemStatus.FAILED, offset, body.at)
        return True

    def _complete_item(self, offset: int, record: Record) -> bool:
        body: ItemCompleted = record.body
        job = self._job_with_waiting_item(body.job_id, body.index)
        if job is None or not _may_complete(job, body):
            return False
        is_success = body.error is None and body.status < 400
        status = ItemStatus.COMPLETED if is_success else ItemStatus.FAILED
        job.finish_item(body.index, status, offset, body.at)
        return True

    def _copy_forward(self, offset: int, record: Record) -> bool:
        body: Carried = record.body
        return any(
            _replace(offsets, body.number, body.from_offset, offset)
            for offsets in self._offsets_of(body.owner_id)
        )

    def _offsets_of(self, owner_id: str) -> list[array]:
        file = self.files.get(owner_id)
        if file is not None:
            return [file.chunks]
        job = self.jobs.get(owner_id)
        return [job.chunks, job.results] if job is not None else []

    def _job_with_waiting_item(self, job_id: str, index: int) -> JobState | None:
        job = self.jobs.get(job_id)
        if job is None or job.cancelled_at is not None:
            return None
        if not 0 <= index < job.items or job.status[index] != ItemStatus.WAITING:
            return None
        return job


def _may_complete(job: JobState, body: ItemCompleted) -> bool:
    if job.is_repeatable:
        return True
    attempt = job.attempts.get(body.index)
    return attempt is not None and attempt.attempt_id == body.attempt_id


def _pending_key(body: JobChunkStored | JobCreated) -> str:
    return f"{body.job_id}/{body.digest}"


def _replace(offsets: array, number: int, old: int, new: int) -> bool:
    if not 0 <= number < len(offsets) or offsets[number] != old:
        return False
    offsets[number] = new
    return True


_handlers: dict[type, Callable[[PartitionState, int, Record], bool]] = {
    AttemptStarted: PartitionState._start_attempt,
    AttemptWithdrawn: PartitionState._withdraw_attempt,
    Carried: PartitionState._copy_forward,
    FileChunkStored: PartitionState._store_file_chunk,
    FileCreated: PartitionState._create_file,
    FileDeleted: PartitionState._delete_file,
    ItemCompleted: PartitionState._complete_item,
    ItemStruck: PartitionState._count_crash,
    JobCancelled: PartitionState._cancel_job,
    JobChunkStored: PartitionState._store_job_chunk,
    JobCreated: PartitionState._create_job,
    JobExpired: PartitionState._expire_job,
}
