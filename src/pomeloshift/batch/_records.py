"""The records of a partition's stream."""

import attrs

from ..errors import ErrorReport
from ..log import CheckpointEnd, CheckpointPart, RecordCodec


@attrs.frozen
class FileChunkStored:
    """A chunk of an uploaded file; a file with lines is split at the ends of lines."""

    file_id: str
    chunk: int
    data: bytes


@attrs.frozen
class FileCreated:
    """All chunks of a file are appended; from this record on the file exists."""

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

    ``digest`` is the digest of the job's request. ``tokens`` holds the estimated number
    of prompt and output tokens of each item.
    """

    job_id: str
    digest: str
    chunk: int
    first_index: int
    lines: tuple[bytes, ...]
    tokens: tuple[int, ...]


@attrs.frozen
class JobCreated:
    """All chunks of a job are appended; from this record on the job is accepted."""

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
    """A job was cancelled; completions after this record are ignored."""

    job_id: str
    at: float


@attrs.frozen
class JobExpired:
    """A job reached the end of its retention and is removed."""

    job_id: str
    at: float


@attrs.frozen
class AttemptStarted:
    """Claims the only run of a non-idempotent item; the first claim wins."""

    job_id: str
    index: int
    attempt_id: str
    instance: str


@attrs.frozen
class AttemptWithdrawn:
    """Withdraws a claim whose run provably did not begin."""

    job_id: str
    index: int
    attempt_id: str


@attrs.frozen
class ItemStruck:
    """Counts a crash for an item: a backend server was lost while running it.

    ``is_certain`` is false if the loss is only inferred from an expired lease.
    """

    job_id: str
    index: int
    lease_id: str
    is_certain: bool
    at: float


@attrs.frozen
class ItemCompleted:
    """The result of an item: the response, or the error that ended it."""

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
    """A copy of a record that would expire while the state still needs it.

    ``data`` holds the record that was appended at ``from_offset``. ``owner_id`` is the
    id of a file or job, and ``number`` the number of a chunk or the index of an item.
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
