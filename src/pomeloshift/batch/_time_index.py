"""Tells roughly when the records of a stream were appended."""

from array import array
from bisect import bisect_right
from typing import Any

MARK_INTERVAL_S = 10.0


class TimeIndex:
    """Marks of offset and time, taken from the records themselves.

    Marks are in order of both, so that clocks that step back do not disturb it.
    """

    def __init__(self) -> None:
        self._offsets = array("q")
        self._times = array("d")

    def note(self, offset: int, body: Any) -> None:
        """Takes the time that a record carries, if it has one."""
        at = getattr(body, "at", None) or getattr(body, "created_at", None)
        if at is not None:
            self.mark(offset, at)

    def mark(self, offset: int, wall: float) -> None:
        """Notes that the record at ``offset`` was appended at ``wall``."""
        if not self._times or wall >= self._times[-1] + MARK_INTERVAL_S:
            self._offsets.append(offset)
            self._times.append(wall)

    def offset_at(self, wall: float) -> int:
        """Returns an offset with no record behind it older than ``wall``.

        It is 0 where nothing is known of that time.
        """
        position = bisect_right(self._times, wall)
        return self._offsets[position - 1] if position else 0

    def forget_before(self, wall: float) -> None:
        """Drops marks older than ``wall`` but for the latest of them."""
        position = bisect_right(self._times, wall) - 1
        if position > 0:
            del self._offsets[:position]
            del self._times[:position]
