"""The events that admission handles and the effects that it returns."""

import attrs

from ..errors import ErrorReport
from ..model import Priority


@attrs.frozen
class StreamOffered:
    """A new stream is to be run.

    ``deadline_at`` is on the monotonic clock of the caller, in seconds. A stream with
    ``alone`` set is a suspect: no other suspect runs at the same time.
    """

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
    """A stream finished, failed or was cancelled, or its caller disconnected."""

    stream_id: str


@attrs.frozen
class Tick:
    """Time passed; sent at least every 20 ms while admission has any stream."""


AdmissionEvent = StreamOffered | TokensArrived | StreamEnded | Tick


@attrs.frozen
class StartStream:
    """Send the stream to the engine."""

    stream_id: str


@attrs.frozen
class PreemptStream:
    """Cancel a batch stream at the engine and retain its progress."""

    stream_id: str


@attrs.frozen
class ResumeStream:
    """Send a preempted stream to the engine again, with its progress."""

    stream_id: str


@attrs.frozen
class ReleaseStream:
    """Release a batch stream to its partition owner."""

    stream_id: str


@attrs.frozen
class ShedStream:
    """Refuse a stream that was never sent to the engine."""

    stream_id: str
    error: ErrorReport


@attrs.frozen
class PullBatch:
    """Pull up to ``items`` batch items with up to ``tokens`` tokens in total."""

    tokens: int
    items: int


AdmissionEffect = (
    StartStream | PreemptStream | ResumeStream | ReleaseStream | ShedStream
) | PullBatch
