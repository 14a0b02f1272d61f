"""The interface between an engine executor and the work it runs."""

from typing import Protocol

from ..admission import StreamOffered
from ..errors import ErrorReport


class Work(Protocol):
    """Work for an engine: an online attempt or a leased batch item."""

    @property
    def stream_id(self) -> str:
        """The id of the stream at the engine."""

    @property
    def is_batch(self) -> bool:
        """Whether the work may be preempted and released."""

    @property
    def path(self) -> str:
        """The path of the request to the engine."""

    @property
    def body(self) -> bytes:
        """The body of the request to the engine."""

    def offer(self, now: float) -> StreamOffered:
        """Returns the event that offers this work to admission."""

    def handle_events(self, payload: bytes, tokens: int) -> None:
        """Processes complete events from the engine with ``tokens`` tokens in them."""

    def restart(self) -> None:
        """Called when the engine restarts the stream; earlier events are void."""

    def finish(self, status: int, content_type: str) -> None:
        """Called when the engine's response is complete."""

    def fail(self, error: ErrorReport) -> None:
        """Called when the work ended without a complete response."""

    def release(self, resume: bytes) -> None:
        """Called when unfinished work is released; ``resume`` is the engine's token."""
