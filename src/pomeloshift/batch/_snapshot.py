"""Encodes the state of a partition for checkpoints, and decodes it."""

import sys
import zlib
from array import array
from typing import Any

import attrs
import msgspec

from ..log import Checkpoint
from ._file_state import FileState
from ._job_state import Attempt, JobState
from ._pending import PendingChunks
from ._state import PartitionState

COMPRESSION_LEVEL = 1
OFFSETS = "q"
TIMES = "d"
COUNTS = "I"


@attrs.frozen
class _FileImage:
    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    created_at: float
    chunks: bytes
    record_ids: tuple[str, ...]


@attrs.frozen
class _JobImage:
    fields: dict[str, Any]
    metadata: dict[str, str]
    chunks: bytes
    first_indexes: bytes
    tokens: bytes
    status: bytes
    results: bytes
    strikes: dict[int, dict[str, bool]]
    attempts: dict[int, Attempt]
    withdrawn: dict[int, tuple[str, ...]]


@attrs.frozen
class _StateImage:
    next_offset: int
    files: tuple[_FileImage, ...]
    jobs: tuple[_JobImage, ...]
    pending: dict[str, PendingChunks]
    deleted_ids: tuple[str, ...]
    mark_offsets: bytes
    mark_times: bytes
    latest_mark: tuple[int, float]


PLAIN_JOB_FIELDS = (
    "job_id",
    "digest",
    "workspace",
    "service",
    "endpoint",
    "input_file_id",
    "completion_window",
    "window_s",
    "idempotency_key",
    "created_at",
    "is_repeatable",
    "completed",
    "failed",
    "cancelled_at",
    "finished_at",
)


def snapshot_state(state: PartitionState) -> bytes:
    """Returns the encoded state; equal states give equal bytes."""
    image = _StateImage(
        state.next_offset,
        tuple(_file_image(state.files[key]) for key in sorted(state.files)),
        tuple(_job_image(state.jobs[key]) for key in sorted(state.jobs)),
        state.pending,
        tuple(state.deleted_ids),
        _to_bytes(state.times.offsets),
        _to_bytes(state.times.times),
        state.times.latest,
    )
    return zlib.compress(msgspec.msgpack.encode(image), COMPRESSION_LEVEL)


def restore_state(checkpoint: Checkpoint) -> PartitionState:
    """Returns the state encoded in a checkpoint."""
    data = zlib.decompress(checkpoint.data)
    image = msgspec.msgpack.decode(data, type=_StateImage)
    state = PartitionState()
    state.next_offset = checkpoint.as_of
    state.files = {each.file_id: _file(each) for each in image.files}
    state.jobs = {each.fields["job_id"]: _job(each) for each in image.jobs}
    state.pending = image.pending
    state.deleted_ids = dict.fromkeys(image.deleted_ids)
    state.times.offsets = _to_array(OFFSETS, image.mark_offsets)
    state.times.times = _to_array(TIMES, image.mark_times)
    state.times.latest = image.latest_mark
    return state


def _file_image(file: FileState) -> _FileImage:
    return _FileImage(
        file.file_id,
        file.workspace,
        file.filename,
        file.purpose,
        file.size,
        file.created_at,
        _to_bytes(file.chunks),
        tuple(sorted(file.record_ids)),
    )


def _file(image: _FileImage) -> FileState:
    return FileState(
        image.file_id,
        image.workspace,
        image.filename,
        image.purpose,
        image.size,
        image.created_at,
        _to_array(OFFSETS, image.chunks),
        set(image.record_ids),
    )


def _job_image(job: JobState) -> _JobImage:
    return _JobImage(
        {name: getattr(job, name) for name in PLAIN_JOB_FIELDS},
        _sorted(job.metadata),
        _to_bytes(job.chunks),
        _to_bytes(job.first_indexes),
        _to_bytes(job.tokens),
        bytes(job.status),
        _to_bytes(job.results),
        {
            index: dict(sorted(job.strikes[index].items()))
            for index in sorted(job.strikes)
        },
        _sorted(job.attempts),
        _sorted(job.withdrawn),
    )


def _job(image: _JobImage) -> JobState:
    return JobState(
        **image.fields,
        metadata=image.metadata,
        chunks=_to_array(OFFSETS, image.chunks),
        first_indexes=_to_array(OFFSETS, image.first_indexes),
        tokens=_to_array(COUNTS, image.tokens),
        status=bytearray(image.status),
        results=_to_array(OFFSETS, image.results),
        strikes=image.strikes,
        attempts=image.attempts,
        withdrawn=image.withdrawn,
    )


def _sorted(fields: dict) -> dict:
    return {key: fields[key] for key in sorted(fields)}


def _to_bytes(numbers: array) -> bytes:
    return _little_endian(numbers).tobytes()


def _to_array(kind: str, data: bytes) -> array:
    numbers = array(kind)
    numbers.frombytes(data)
    return _little_endian(numbers)


def _little_endian(numbers: array) -> array:
    if sys.byteorder == "little":
        return numbers
    swapped = array(numbers.typecode, numbers)
    swapped.byteswap()
    return swapped
