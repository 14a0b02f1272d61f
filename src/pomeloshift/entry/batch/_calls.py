"""Calls from one entry to the entry that owns a partition, and their replies."""

from typing import Any

import attrs
import msgspec

from ...batch import FileView, JobView
from ...errors import ErrorCode, PomeloshiftError
from ...wire import ItemResults, LeaseRelease


class CallFormatError(PomeloshiftError):
    """Bytes from another entry are not a valid call or reply."""

    code = ErrorCode.PROTOCOL_ERROR


@attrs.frozen
class StoreChunk:
    """Stores one chunk of a file that is being uploaded."""

    partition: int
    file_id: str
    chunk: int
    data: bytes


@attrs.frozen
class CreateFile:
    """Creates a file from the chunks stored under its id."""

    partition: int
    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    chunks: int


@attrs.frozen
class GetFile:
    """Requests a file's description; an empty workspace matches any."""

    partition: int
    file_id: str
    workspace: str


@attrs.frozen
class DeleteFile:
    """Deletes a file."""

    partition: int
    file_id: str
    workspace: str


@attrs.frozen
class ListFiles:
    """Requests the files of a workspace, newest first.

    A page starts behind the file ``after_id``, created at ``before`` (seconds since
    the epoch); without ``before`` it starts at the newest file. An empty
    ``purpose`` matches any.
    """

    partition: int
    workspace: str
    purpose: str
    limit: int
    before: float | None
    after_id: str


@attrs.frozen
class ReadPart:
    """Requests one part of a file's content; ``part`` counts from 0."""

    partition: int
    file_id: str
    workspace: str
    part: int


@attrs.frozen
class CreateJob:
    """Creates a job; ``job_id`` is derived from the caller's request."""

    partition: int
    job_id: str
    digest: str
    workspace: str
    input_file_id: str
    endpoint: str
    completion_window: str
    idempotency_key: str
    metadata: dict[str, str]


@attrs.frozen
class GetJob:
    """Requests a job's description; an empty workspace matches any."""

    partition: int
    job_id: str
    workspace: str


@attrs.frozen
class ListJobs:
    """Requests the jobs of a workspace, newest first.

    An empty workspace matches any. A page starts behind the job ``after_id``,
    created at ``before`` (seconds since the epoch); without ``before`` it starts at
    the newest job.
    """

    partition: int
    workspace: str
    limit: int
    before: float | None
    after_id: str


@attrs.frozen
class CancelJob:
    """Cancels a job."""

    partition: int
    job_id: str
    workspace: str


@attrs.frozen
class TakeResults:
    """Reports outcomes of a partition's items."""

    partition: int
    results: ItemResults


@attrs.frozen
class TakeRelease:
    """Releases leases of a partition's items."""

    partition: int
    release: LeaseRelease


@attrs.frozen
class Done:
    """The call was executed and has no result to return."""


@attrs.frozen
class FileList:
    """Files, newest first."""

    files: tuple[FileView, ...]


@attrs.frozen
class JobList:
    """Jobs, newest first."""

    jobs: tuple[JobView, ...]


@attrs.frozen
class FilePart:
    """A part of a file; ``is_last`` is set on the last one."""

    data: bytes
    is_last: bool


Call = (
    StoreChunk
    | CreateFile
    | GetFile
    | DeleteFile
    | ListFiles
    | ReadPart
    | CreateJob
    | GetJob
    | ListJobs
    | CancelJob
    | TakeResults
    | TakeRelease
)
Reply = Done | FileList | FilePart | FileView | JobList | JobView

CALL_TYPES: tuple[type, ...] = (
    StoreChunk,
    CreateFile,
    GetFile,
    DeleteFile,
    ListFiles,
    ReadPart,
    CreateJob,
    GetJob,
    ListJobs,
    CancelJob,
    TakeResults,
    TakeRelease,
)
REPLY_TYPES: tuple[type, ...] = (
    Done,
    FileList,
    FilePart,
    FileView,
    JobList,
    JobView,
)

_kinds = {kind.__name__: kind for kind in CALL_TYPES + REPLY_TYPES}
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def encode_call(message: Call | Reply) -> bytes:
    """Returns a call or reply encoded as MessagePack with its class name."""
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_call(data: bytes) -> Any:
    """Returns the call or reply in ``data``; raises `CallFormatError`."""
    try:
        name, body = _envelope.decode(data)
        return msgspec.msgpack.decode(body, type=_kinds[name])
    except (msgspec.DecodeError, KeyError) as exc:
        raise CallFormatError(f"cannot decode a call or reply: {exc}") from exc
