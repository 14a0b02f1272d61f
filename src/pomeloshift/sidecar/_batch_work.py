"""A leased batch item as work for an engine."""

from collections.abc import Callable

import attrs

from ..admission import StreamOffered
from ..errors import ErrorReport
from ..model import Priority
from ..wire import GrantedItem, ItemOutcome
from ._answer_assembler import AnswerAssembler, request_stream


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
        self.stream_id = f"item-{item.lease_id}"
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

    def finish(self, status: int, content_type: str) -> None:
        """Reports the joined answer."""
        self._report(self._outcome(status, self._assembler.answer()))

    def fail(self, error: ErrorReport) -> None:
        """Reports the error that ended the item."""
        self._report(attrs.evolve(self._outcome(0, b""), error=error))

    def release(self, resume: bytes) -> None:
        """Gives the lease back."""
        self._give_back(self.item, resume)

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
