"""Adapts a leased batch item to the `Work` interface."""

from collections.abc import Callable

import attrs
import msgspec

from ..admission import StreamOffered
from ..errors import ErrorReport
from ..model import Priority
from ..wire import GrantedItem, ItemOutcome
from ._answer_assembler import AnswerAssembler, AnswerState, request_stream


@attrs.frozen
class _Progress:
    """The progress of an interrupted run, from which the next run resumes."""

    token: bytes
    answer: AnswerState
    tokens: int


class BatchWork:
    """Joins the engine's events and reports the item's outcome once.

    ``on_outcome`` receives the outcome. ``on_release`` receives the released lease
    with its encoded progress, which is empty if the next run must restart.
    """

    def __init__(
        self,
        item: GrantedItem,
        on_outcome: Callable[[ItemOutcome], None],
        on_release: Callable[[GrantedItem, bytes], None],
    ) -> None:
        self.item = item
        self._on_outcome = on_outcome
        self._on_release = on_release
        self._assembler = AnswerAssembler()
        self._tokens = 0
        self.resume = self._restore()
        self.stream_id = f"item-{item.lease_id}"
        self.is_batch = True
        self.path = item.path
        self.body = request_stream(item.body)

    def offer(self, now: float) -> StreamOffered:
        """Returns the event that offers this item to admission."""
        return StreamOffered(
            self.stream_id,
            Priority.BATCH,
            self.item.prompt_tokens,
            self.item.max_tokens,
            now + self.item.deadline_s,
            alone=self.item.alone,
        )

    def handle_events(self, payload: bytes, tokens: int) -> None:
        """Adds the events to the joined response."""
        self._assembler.feed(payload)
        self._tokens += tokens

    def restart(self) -> None:
        """Discards the events received so far."""
        self._assembler = AnswerAssembler()
        self._tokens = 0

    def finish(self, status: int, content_type: str) -> None:
        """Reports the joined response as the outcome."""
        self._on_outcome(self._outcome(status, self._assembler.response()))

    def fail(self, error: ErrorReport) -> None:
        """Reports the error as the outcome."""
        self._on_outcome(attrs.evolve(self._outcome(0, b""), error=error))

    def release(self, resume: bytes) -> None:
        """Releases the lease, with the progress so far if the engine can resume it."""
        progress = b""
        if resume:
            progress = msgspec.msgpack.encode(
                _Progress(resume, self._assembler.state(), self._tokens)
            )
        self._on_release(self.item, progress)

    def _restore(self) -> bytes:
        """Restores the progress of an earlier lease; returns its resume token."""
        if not self.item.resume:
            return b""
        try:
            progress = msgspec.msgpack.decode(self.item.resume, type=_Progress)
        except msgspec.DecodeError:
            return b""
        self._assembler = AnswerAssembler(progress.answer)
        self._tokens = progress.tokens
        return progress.token

    def _outcome(self, status: int, body: bytes) -> ItemOutcome:
        return ItemOutcome(
            self.item.partition,
            self.item.job_id,
            self.item.index,
            self.item.lease_id,
            status,
            body,
            self._tokens,
        )
