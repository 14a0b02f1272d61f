"""A job and the state of its items."""

import attrs

from ..dispatch import SoftwareVersion
from ._blob_ref import BlobRef
from ._item import Item, ItemState, Result
from ._item_claim import ItemClaim


@attrs.frozen
class DurableProgress:
    """Reference to the stored output of an unfinished item up to ``event_id``.

    ``software`` is the version that produced it.
    """

    event_id: int
    text: BlobRef
    software: SoftwareVersion


@attrs.define(eq=False)
class Job:
    """One accepted job.

    ``accepted_at`` is in monotonic seconds. ``results`` are in the order in which the
    items finished, which never changes. ``keys`` are those of the job's log records.
    ``events_done`` maps items to their last known event, ``resumable_at`` to the
    version of the software that produced it, ``claims`` resumed items to the claim in
    force, and ``failures`` items to the engine of each run that failed.
    ``pending`` holds the indexes of the unfinished items, and ``waiting_tokens`` is the
    sum of their tokens. ``workspace`` is the submitter's. ``closed_offset`` is that of
    the last record that finished an item or ended the job, -1 before.
    """

    id: str
    queue: str
    host: str
    path: str
    items: tuple[Item, ...]
    accepted_at: float
    is_ended: bool = False
    results: list[Result] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    failures: dict[int, list[str]] = attrs.field(factory=dict)
    progress: dict[int, DurableProgress] = attrs.field(factory=dict)
    events_done: dict[int, int] = attrs.field(factory=dict)
    resumable_at: dict[int, SoftwareVersion] = attrs.field(factory=dict)
    claims: dict[int, ItemClaim] = attrs.field(factory=dict)
    pending: set[int] = attrs.field(init=False)
    waiting_tokens: int = attrs.field(init=False)
    workspace: str = ""
    closed_offset: int = -1

    def __attrs_post_init__(self) -> None:
        self.pending = set(range(len(self.items)))
        self.waiting_tokens = sum(item.tokens for item in self.items)

    @property
    def is_open(self) -> bool:
        """Whether the job has items left to run."""
        return not self.is_ended and bool(self.pending)

    @property
    def owed_tokens(self) -> int:
        """The tokens of the items that are left to run; 0 once the job is ended."""
        return 0 if self.is_ended else self.waiting_tokens

    def finish_item(self, index: int, state: ItemState, text: BlobRef | None) -> bool:
        """Adds an item's result; returns False if the item already had one."""
        if index not in self.pending:
            return False
        item = self.items[index]
        self.pending.discard(index)
        self.progress.pop(index, None)
        self.resumable_at.pop(index, None)
        self.claims.pop(index, None)
        self.waiting_tokens -= item.tokens
        self.results.append(Result(item.id, state, text))
        return True

    def note_progress(self, index: int, progress: DurableProgress) -> None:
        """Records progress of an unfinished item if it is the furthest of its version.

        Progress at another version takes the place of earlier progress: the item was
        started again there.
        """
        known = self.progress.get(index)
        if index not in self.pending:
            return
        if (
            known is None
            or known.software != progress.software
            or known.event_id < progress.event_id
        ):
            self.progress[index] = progress
            self.resumable_at[index] = progress.software
            events = self.events_done.get(index, 0)
            self.events_done[index] = max(progress.event_id, events)

    def claim_item(self, index: int, claim: ItemClaim) -> None:
        """Records that a process resumed an unfinished item."""
        if index in self.pending:
            self.claims[index] = claim

    def release_item(self, index: int, by: str) -> None:
        """Removes the claim of a process that has ended its run of an item."""
        claim = self.claims.get(index)
        if claim is not None and claim.by == by:
            del self.claims[index]

    def blobs(self) -> list[BlobRef]:
        """Returns all blobs that the job's records refer to."""
        refs = [item.body for item in self.items]
        refs += [result.text for result in self.results if result.text is not None]
        return refs + [progress.text for progress in self.progress.values()]

    def item_by_id(self, item_id: str) -> Item | None:
        """Returns the item with this id, or None."""
        return next((item for item in self.items if item.id == item_id), None)
