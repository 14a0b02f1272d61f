"""One stream of work as the engine lane sees it."""

from typing import Protocol

from ..admission import StreamOffered
from ..errors import ErrorReport


class Work(Protocol):
    """Work for an engine: an online attempt or a leased batch item."""

    @property
    def stream_id(self) -> str:
        """The id under which the engine knows the stream."""

    @property
    def is_batch(self) -> bool:
        """Whether the work may be taken back and released."""

    @property
    def path(self) -> str:
        """The engine's path."""

    @property
    def body(self) -> bytes:
        """The body of the engine's request."""

    def offer(self, now: float) -> StreamOffered:
        """Returns the event that offers this work to admission."""

    def take(self, payload: bytes, tokens: int) -> None:
        """Takes whole events from the engine."""

    def restart(self) -> None:
        """The engine begins anew; what it sent before does not count."""

    def finish(self, status: int, content_type: str) -> None:
        """The engine's answer is whole."""

    def fail(self, error: ErrorReport) -> None:
        """The work ended without a whole answer."""

    def release(self, resume: bytes) -> None:
        """The work goes back unfinished with the engine's token for its progress."""
