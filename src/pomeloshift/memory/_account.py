"""What one connection holds of a memory budget."""

import math
from enum import Enum

import attrs


class Kind(Enum):
    """What memory is held for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    REQUEST = "request"
    DECODING = "decoding"
    RESPONSE = "response"


# Progress below this counts as this: its logarithm stays finite.
LEAST_PROGRESS = 1e-9


@attrs.define(eq=False)
class Account:
    """The memory of one connection and its progress.

    Progress is the share of the memory held that has arrived recently: 1 where all of
    it has, and falling by a factor e in each ``progress_s`` without bytes. It stands
    still while the budget lets the connection wait. ``owner`` is the connection.
    """

    owner: object
    _progress_s: float
    _at: float
    is_complete: bool = False
    held: dict[Kind, int] = attrs.field(factory=dict)
    wanted: tuple[Kind, int] | None = None
    waits_since: float = 0.0
    is_open: bool = True
    _progress: float = 1.0

    @property
    def total(self) -> int:
        """The bytes held."""
        return sum(self.held.values())

    def progress(self, now: float) -> float:
        """Returns the recent progress, from 0 to 1."""
        until = self.waits_since if self.wanted is not None else now
        return self._progress * math.exp(-max(0.0, until - self._at) / self._progress_s)

    def rank(self, now: float) -> tuple[float, int]:
        """Returns what orders accounts: the least progress first, then the largest."""
        return self.progress(now), -self.total

    def note_received(self, size: int, now: float) -> None:
        """Records bytes that have arrived."""
        share = size / max(1, self.total)
        self._progress = min(1.0, self.progress(now) + share)
        self._progress = max(LEAST_PROGRESS, self._progress)
        self._at = now

    def note_begun(self, now: float) -> None:
        """Records a beginning or a grant, before which nothing could arrive."""
        self._progress, self._at = 1.0, now
