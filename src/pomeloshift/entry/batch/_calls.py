"""The calls from one entry to the entry that owns a partition, and their answers."""

from typing import Any

import attrs
import msgspec

from ...batch import FileView, JobView
from ...errors import ErrorCode, PomeloshiftError
from ...wire import ItemResults, LeaseRelease


class CallFormatError(PomeloshiftError):
    """Bytes from another entry are not a call or an answer."""

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
    """Makes a file of the chunks that were stored."""

    partition: int
    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    chunks: int


@attrs.frozen
class GetFile:
    """Asks for a file; an empty workspace stands for all of them."""

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
    """Asks for the files of a workspace, the newest first."""

    partition: int
    workspace: str
    purpose: str
    limit: int
    before: float | None
    after_id: str


@attrs.frozen
class ReadPart:
    """Asks for a part of a file's content, counted from 0."""

    partition: int
    file_id: str
    workspace: str
    part: int


@attrs.frozen
class CreateJob:
    """Accepts a job whose id follows from its request."""

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
    """Asks for a job; an empty workspace stands for all of them."""

    partition: int
    job_id: str
    workspace: str


@attrs.frozen
class ListJobs:
    """Asks for the jobs of a workspace, the newest first."""

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
    """Hands over outcomes of a partition's items."""

    partition: int
    results: ItemResults


@attrs.frozen
class TakeRelease:
    """Gives leases of a partition back."""

    partition: int
    release: LeaseRelease


@attrs.frozen
class Done:
    """The call took effect."""


@attrs.frozen
class FileList:
    """Files, the newest first."""

    files: tuple[FileView, ...]


@attrs.frozen
class JobList:
    """Jobs, the newest first."""

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
    """Returns a call or an answer as bytes."""
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_call(data: bytes) -> Any:
    """Returns the call or answer in ``data``; raises `CallFormatError`."""
    try:
        name, body = _envelope.decode(data)
        return msgspec.msgpack.decode(body, type=_kinds[name])
    except (msgspec.DecodeError, KeyError) as exc:
        raise CallFormatError(f"a call cannot be read: {exc}") from exc
