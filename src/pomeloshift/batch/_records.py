"""The records of a partition's stream."""

import attrs

from ..errors import ErrorReport
from ..log import CheckpointEnd, CheckpointPart, RecordCodec


@attrs.frozen
class FileChunkStored:
    """A part of an uploaded file, cut at the end of a line where it has lines."""

    file_id: str
    chunk: int
    data: bytes


@attrs.frozen
class FileCreated:
    """All chunks of a file have been appended; from here on the file exists."""

    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    chunks: int
    created_at: float


@attrs.frozen
class FileDeleted:
    """A file was deleted by its workspace or reached the end of its retention."""

    file_id: str
    at: float


@attrs.frozen
class JobChunkStored:
    """Consecutive items of a job from ``first_index`` on, as lines of its input.

    ``digest`` is the digest of the job's request, and ``tokens`` the estimated
    number of tokens of each item, prompt and output together.
    """

    job_id: str
    digest: str
    chunk: int
    first_index: int
    lines: tuple[bytes, ...]
    tokens: tuple[int, ...]


@attrs.frozen
class JobCreated:
    """All chunks of a job have been appended; from here on the job is accepted."""

    job_id: str
    digest: str
    workspace: str
    service: str
    endpoint: str
    input_file_id: str
    completion_window: str
    window_s: float
    idempotency_key: str
    items: int
    chunks: int
    created_at: float
    is_repeatable: bool = True
    metadata: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class JobCancelled:
    """A job was cancelled; completions behind this record are ignored."""

    job_id: str
    at: float


@attrs.frozen
class JobExpired:
    """A job reached the end of its retention and is forgotten."""

    job_id: str
    at: float


@attrs.frozen
class AttemptStarted:
    """Claims the only run of an item that may not be repeated."""

    job_id: str
    index: int
    attempt_id: str
    instance: str


@attrs.frozen
class AttemptWithdrawn:
    """Gives a claim back after a run that provably did not begin."""

    job_id: str
    index: int
    attempt_id: str


@attrs.frozen
class ItemStruck:
    """A backend server was lost while it ran an item.

    ``is_certain`` is false where only the lease ran out without a word.
    """

    job_id: str
    index: int
    lease_id: str
    is_certain: bool
    at: float


@attrs.frozen
class ItemCompleted:
    """The end of an item: its answer, or the error that ended it."""

    job_id: str
    index: int
    attempt_id: str
    status: int
    body: bytes
    output_tokens: int
    at: float
    error: ErrorReport | None = None


@attrs.frozen
class Carried:
    """A copy of a record that would expire before the state that needs it.

    ``data`` holds the record that was appended at ``from_offset``. ``owner_id`` is
    the id of a file or job, ``number`` that of a chunk or item.
    """

    owner_id: str
    number: int
    from_offset: int
    at: float
    data: bytes


RECORD_TYPES: tuple[type, ...] = (
    AttemptStarted,
    AttemptWithdrawn,
    Carried,
    CheckpointEnd,
    CheckpointPart,
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


def job_codec() -> RecordCodec:
    """Returns the codec of partition streams."""
    return RecordCodec(RECORD_TYPES)
