"""Decides what to copy forward, checkpoint or expire, as the log drops old records."""

from collections.abc import Iterator

import attrs
from attrs import validators as v

from ..log import Record
from ._file_state import FileState
from ._job_state import NO_OFFSET, JobState
from ._records import FileDeleted, JobExpired
from ._state import PartitionState

COPY_SHARE = 1 / 3
CHECKPOINT_SHARE = 1 / 4


@attrs.frozen
class Retention:
    """Retention times, in seconds.

    ``log_s`` is the age at which the log drops a record. ``result_s`` is how long files
    are available after their upload, and jobs after their end.
    """

    log_s: float = attrs.field(validator=v.gt(0))
    result_s: float = attrs.field(validator=v.gt(0))


@attrs.frozen
class CopyForward:
    """A request to append the record at ``offset`` again.

    The record holds a chunk of a file or job, or the result of an item.
    """

    owner_id: str
    number: int
    offset: int


def expiry_records(
    state: PartitionState, retention: Retention, wall: float
) -> list[Record]:
    """Returns the records that remove jobs and files past their retention."""
    oldest = wall - retention.result_s
    jobs = [
        Record(f"{job.job_id}/expired", JobExpired(job.job_id, wall))
        for job in state.jobs.values()
        if job.ended_at is not None and job.ended_at < oldest
    ]
    files = [
        Record(
            f"{file.file_id}/expired/{file.created_at}",
            FileDeleted(file.file_id, wall),
        )
        for file in state.files.values()
        if file.created_at < oldest
    ]
    return jobs + files


def records_to_copy(
    state: PartitionState, retention: Retention, wall: float
) -> Iterator[CopyForward]:
    """Yields the records to append again before the log drops them.

    Records are copied forward at a third of the log's retention. The rest leaves time
    for an outage of the log and for periods without an owner.
    """
    end = state.times.offset_at(wall - retention.log_s * COPY_SHARE)
    if end <= 0:
        return
    for file in state.files.values():
        yield from _old_chunks(file.file_id, file, end)
    for job in state.jobs.values():
        yield from _old_chunks(job.job_id, job, end)
        yield from _old_results(job, end)


def is_checkpoint_due(
    state: PartitionState,
    last_at: float | None,
    retention: Retention,
    wall: float,
) -> bool:
    """Returns whether the state has to be appended as a checkpoint.

    ``last_at`` is when the latest checkpoint was appended, `None` before the first.
    """
    if not (state.files or state.jobs or state.deleted_ids):
        return False
    if last_at is None:
        return True
    return wall - last_at >= retention.log_s * CHECKPOINT_SHARE


def _old_chunks(
    owner_id: str, owner: FileState | JobState, end: int
) -> Iterator[CopyForward]:
    for number, offset in enumerate(owner.chunks):
        if offset < end:
            yield CopyForward(owner_id, number, offset)


def _old_results(job: JobState, end: int) -> Iterator[CopyForward]:
    for number, offset in enumerate(job.results):
        if NO_OFFSET < offset < end:
            yield CopyForward(job.job_id, number, offset)
