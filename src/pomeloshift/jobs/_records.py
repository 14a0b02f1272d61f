"""Records of the job log.

Records are never overwritten: each has its own key, so that the newest records of all
keys are the complete log. The order of the records decides between conflicting ones.
"""

from typing import Any

import msgspec

from ._blob_ref import BlobRef


class JobSubmitted(msgspec.Struct, tag="job", array_like=True):
    """A job was submitted; it is accepted if it fits, unless it was accepted already.

    ``queue`` consists of the route's host and path prefix. ``submitted_at`` is
    wall-clock time in seconds. Each of ``items`` consists of an id, a path, headers, a
    reference to the body and a number of tokens. ``workspace`` is the submitter's,
    empty where callers need no keys. With a ``cap`` above 0, the job is accepted only
    if the unfinished items of the queue's accepted jobs, its own included, have at
    most ``cap`` tokens at this place in the log: those of the workspace's jobs, or of
    all jobs if ``workspace`` is empty. Records of earlier versions lack both fields.
    """

    job_id: str
    queue: str
    host: str
    path: str
    submitted_at: float
    items: list[tuple[str, str, list[tuple[str, str]], BlobRef, int]]
    workspace: str = ""
    cap: int = 0


class ItemSettled(msgspec.Struct, tag="settled", array_like=True):
    """An item reached a terminal state; only the first such record of it counts.

    ``text`` refers to the output of an item that is done.
    """

    job_id: str
    index: int
    is_done: bool
    text: BlobRef | None


class ItemFailed(msgspec.Struct, tag="failed", array_like=True):
    """An engine responded that an item's run failed.

    ``engine`` is its id; records of earlier versions lack it.
    """

    job_id: str
    index: int
    engine: str = ""


class ItemProgress(msgspec.Struct, tag="progress", array_like=True):
    """The output of an unfinished item up to an event, so that it can be resumed.

    ``by`` names the process that ran the item and now lets others resume it.
    ``service`` and ``version`` are those of the engine's software; records of earlier
    versions lack them.
    """

    job_id: str
    index: int
    event_id: int
    text: BlobRef
    by: str = ""
    service: str = ""
    version: str = ""


class ItemResumed(msgspec.Struct, tag="resumed", array_like=True):
    """The process ``by`` claims an item to resume it; all others stop their runs."""

    job_id: str
    index: int
    event_id: int
    by: str


class ItemReleased(msgspec.Struct, tag="released", array_like=True):
    """The process ``by`` has ended its run of an item and lets others resume it."""

    job_id: str
    index: int
    by: str


class JobEnded(msgspec.Struct, tag="ended", array_like=True):
    """The caller ended a job; its unfinished items no longer run."""

    job_id: str


JobRecord = (
    JobSubmitted
    | ItemSettled
    | ItemFailed
    | ItemProgress
    | ItemResumed
    | ItemReleased
    | JobEnded
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(JobRecord)


def encode_record(record: JobRecord) -> bytes:
    """Returns the record encoded as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> JobRecord:
    """Returns the record in ``data``; raises `msgspec.DecodeError`."""
    try:
        record: JobRecord = _DECODER.decode(data)
    except (ValueError, RecursionError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc
    return record
