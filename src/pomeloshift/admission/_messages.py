"""Events that admission takes and effects that it orders."""

import attrs

from ..errors import ErrorReport
from ..model import Priority


@attrs.frozen
class StreamOffered:
    """A stream asks to run. ``deadline_at`` is on the clock of ``now``."""

    stream_id: str
    priority: Priority
    prompt_tokens: int
    max_tokens: int
    deadline_at: float
    workspace: str = ""
    alone: bool = False


@attrs.frozen
class TokensArrived:
    """The engine produced tokens of a running stream."""

    stream_id: str
    tokens: int


@attrs.frozen
class StreamEnded:
    """A stream finished, failed, was cancelled or was given up by its caller."""

    stream_id: str


@attrs.frozen
class Tick:
    """Time passed; sent at least every 20 ms while any stream is known."""


AdmissionEvent = StreamOffered | TokensArrived | StreamEnded | Tick


@attrs.frozen
class StartStream:
    """Hand the stream to the engine."""

    stream_id: str


@attrs.frozen
class PreemptStream:
    """Cancel a batch stream at the engine and keep its progress for later."""

    stream_id: str


@attrs.frozen
class ResumeStream:
    """Hand a stream that was taken back to the engine with its progress."""

    stream_id: str


@attrs.frozen
class ReleaseStream:
    """Give a batch stream back to its partition owner."""

    stream_id: str


@attrs.frozen
class ShedStream:
    """Refuse a stream that was never handed to the engine."""

    stream_id: str
    error: ErrorReport


@attrs.frozen
class PullBatch:
    """There is room for batch work of that many tokens and items."""

    tokens: int
    items: int


AdmissionEffect = (
    StartStream | PreemptStream | ResumeStream | ReleaseStream | ShedStream
) | PullBatch
