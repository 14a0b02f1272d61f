"""The replayed state of a job and its items."""

from array import array
from enum import IntEnum

import attrs

NO_OFFSET = -1


class ItemStatus(IntEnum):
    """The state of one item; all but ``WAITING`` are terminal."""

    WAITING = 0
    COMPLETED = 1
    FAILED = 2


@attrs.frozen
class Attempt:
    """The claim on the only run of a non-idempotent item."""

    attempt_id: str
    instance: str


@attrs.define(eq=False)
class JobState:
    """A job with its items in arrays.

    For each item, ``status`` holds an `ItemStatus`, ``results`` the offset of the
    record with the result, and ``tokens`` the estimated tokens. ``chunks`` holds the
    offsets of the records with the input lines and ``first_indexes`` the first item of
    each chunk. A strike is a crash counted for an item: ``strikes`` maps suspects to
    the leases under which they were running when a backend server was lost, and each
    lease to whether the loss is certain. ``is_repeatable`` states that the items are
    idempotent.
    ``withdrawn`` holds the withdrawn claims, which a late duplicate must not restore.
    Times are wall-clock seconds.
    """

    job_id: str
    digest: str
    workspace: str
    service: str
    endpoint: str
    input_file_id: str
    completion_window: str
    window_s: float
    idempotency_key: str
    created_at: float
    is_repeatable: bool
    metadata: dict[str, str]
    chunks: array
    first_indexes: array
    tokens: array
    status: bytearray
    results: array
    completed: int = 0
    failed: int = 0
    cancelled_at: float | None = None
    finished_at: float | None = None
    strikes: dict[int, dict[str, bool]] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    withdrawn: dict[int, tuple[str, ...]] = attrs.field(factory=dict)

    @property
    def items(self) -> int:
        """The number of items."""
        return len(self.status)

    @property
    def waiting(self) -> int:
        """The number of unfinished items."""
        return self.items - self.completed - self.failed

    @property
    def deadline_at(self) -> float:
        """When the job is due, in wall-clock seconds."""
        return self.created_at + self.window_s

    @property
    def is_over(self) -> bool:
        """Whether the job finished or was cancelled, so that no item runs again."""
        return self.finished_at is not None or self.cancelled_at is not None

    @property
    def ended_at(self) -> float | None:
        """When the job was cancelled or finished, `None` while it is not over."""
        return self.cancelled_at if self.cancelled_at is not None else self.finished_at

    def chunk_of(self, index: int) -> int:
        """Returns the number of the chunk that holds an item."""
        low, high = 0, len(self.first_indexes)
        while high - low > 1:
            middle = (low + high) // 2
            if self.first_indexes[middle] <= index:
                low = middle
            else:
                high = middle
        return low

    def chunk_range(self, chunk: int) -> range:
        """Returns the items of a chunk."""
        is_last = chunk + 1 == len(self.first_indexes)
        end = self.items if is_last else self.first_indexes[chunk + 1]
        return range(self.first_indexes[chunk], end)

    def finish_item(
        self, index: int, status: ItemStatus, offset: int, at: float
    ) -> None:
        """Sets the terminal state of an item whose result is at ``offset``."""
        self.status[index] = status
        self.results[index] = offset
        if status is ItemStatus.COMPLETED:
            self.completed += 1
        else:
            self.failed += 1
        self.strikes.pop(index, None)
        self.attempts.pop(index, None)
        self.withdrawn.pop(index, None)
        if self.waiting == 0:
            self.finished_at = at
