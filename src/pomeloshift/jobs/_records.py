"""Records of the job log.

Nothing in the log is ever written over: each record has a key of its own, so that the
newest records of all keys are the whole log. What holds is decided by their order.
"""

from typing import Any

import msgspec

from ._blob_ref import BlobRef


class JobSubmitted(msgspec.Struct, tag="job", array_like=True):
    """A job was accepted, unless an earlier record has accepted it.

    ``queue`` names the route's host and prefix; ``submitted_at`` is wall time in
    seconds; each of ``items`` is an id, a path, headers, where its body is and its
    tokens.
    """

    job_id: str
    queue: str
    host: str
    path: str
    submitted_at: float
    items: list[tuple[str, str, list[tuple[str, str]], BlobRef, int]]


class ItemSettled(msgspec.Struct, tag="settled", array_like=True):
    """An item ended; the first such record of an item counts.

    ``text`` says where the output of an item that is done is kept.
    """

    job_id: str
    index: int
    is_done: bool
    text: BlobRef | None


class ItemFailed(msgspec.Struct, tag="failed", array_like=True):
    """An engine answered that an item's run failed."""

    job_id: str
    index: int


class ItemProgress(msgspec.Struct, tag="progress", array_like=True):
    """The output of an unfinished item up to an event, for whoever goes on."""

    job_id: str
    index: int
    event_id: int
    text: BlobRef


class JobEnded(msgspec.Struct, tag="ended", array_like=True):
    """The caller ended a job."""

    job_id: str


JobRecord = JobSubmitted | ItemSettled | ItemFailed | ItemProgress | JobEnded

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(JobRecord)


def encode_record(record: JobRecord) -> bytes:
    """Returns a record's bytes."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> JobRecord:
    """Returns the record in ``data``; raises `msgspec.DecodeError`."""
    record: JobRecord = _DECODER.decode(data)
    return record
