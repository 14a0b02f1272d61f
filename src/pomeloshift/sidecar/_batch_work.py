"""A leased batch item as work for an engine."""

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
    """What an interrupted run of an item leaves to the next one."""

    token: bytes
    answer: AnswerState
    tokens: int


class BatchWork:
    """Joins the engine's events and reports the item's outcome once.

    ``report`` takes the outcome and ``give_back`` the lease with the engine's token
    for the progress made.
    """

    def __init__(
        self,
        item: GrantedItem,
        report: Callable[[ItemOutcome], None],
        give_back: Callable[[GrantedItem, bytes], None],
    ) -> None:
        self.item = item
        self._report = report
        self._give_back = give_back
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

    def take(self, payload: bytes, tokens: int) -> None:
        """Keeps the events for the joined answer."""
        self._assembler.feed(payload)
        self._tokens += tokens

    def restart(self) -> None:
        """Forgets what the engine sent."""
        self._assembler = AnswerAssembler()
        self._tokens = 0

    def finish(self, status: int, content_type: str) -> None:
        """Reports the joined answer."""
        self._report(self._outcome(status, self._assembler.answer()))

    def fail(self, error: ErrorReport) -> None:
        """Reports the error that ended the item."""
        self._report(attrs.evolve(self._outcome(0, b""), error=error))

    def release(self, resume: bytes) -> None:
        """Gives the lease back with the events so far, if they can go on."""
        progress = b""
        if resume:
            progress = msgspec.msgpack.encode(
                _Progress(resume, self._assembler.state(), self._tokens)
            )
        self._give_back(self.item, progress)

    def _restore(self) -> bytes:
        """Takes up the progress of an earlier lease; returns the engine's token."""
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
