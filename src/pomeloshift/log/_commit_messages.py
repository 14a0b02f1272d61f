"""The appends and effects that a group committer returns."""

import attrs

from ..errors import ErrorReport


@attrs.frozen
class StartAppend:
    """Append these payloads and report the outcome under ``append_id``."""

    append_id: int
    stream: str
    payloads: tuple[bytes, ...]


@attrs.frozen
class RecordCommitted:
    """The record is durable at ``offset``."""

    record_id: str
    offset: int


@attrs.frozen
class RecordRefused:
    """The record expired and is certainly not part of the stream."""

    record_id: str
    error: ErrorReport


@attrs.frozen
class RecordUnknown:
    """The record was not committed in time and may be part of the stream.

    The committer keeps retrying and returns `RecordCommitted` once it is durable.
    """

    record_id: str
    error: ErrorReport


CommitEffect = RecordCommitted | RecordRefused | RecordUnknown
