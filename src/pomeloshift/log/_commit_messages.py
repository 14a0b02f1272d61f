"""What a group committer orders and tells."""

import attrs

from ..errors import ErrorReport


@attrs.frozen
class StartAppend:
    """Append these payloads; answer with ``append_id``."""

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
    """The record was given up and certainly never became part of the stream."""

    record_id: str
    error: ErrorReport


@attrs.frozen
class RecordUnknown:
    """The record was not settled in time and may be part of the stream.

    The committer goes on until it is settled and then tells so.
    """

    record_id: str
    error: ErrorReport


CommitEffect = RecordCommitted | RecordRefused | RecordUnknown
