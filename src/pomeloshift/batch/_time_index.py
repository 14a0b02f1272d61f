"""Estimates when the records of a stream were appended."""

from array import array
from bisect import bisect_right

MARK_INTERVAL_S = 60.0
MAX_MARKS = 4096


class TimeIndex:
    """Marks of offset and time, taken from the times in the records.

    A mark states that all records before its offset were appended by its time. Later
    marks have larger offsets and times, even if the clocks of the records' writers
    disagree. The latest mark is always stored, the others at intervals of at least
    a minute.
    """

    def __init__(self) -> None:
        self.offsets = array("q")
        self.times = array("d")
        self.latest: tuple[int, float] = (0, 0.0)

    def note(self, offset: int, wall: float) -> None:
        """Records the time of the record at ``offset``, in wall-clock seconds."""
        self.latest = (offset + 1, max(wall, self.latest[1]))
        if self.times and wall < self.times[-1] + MARK_INTERVAL_S:
            return
        self.offsets.append(offset + 1)
        self.times.append(wall)
        if len(self.times) > MAX_MARKS:
            del self.offsets[0]
            del self.times[0]

    def offset_at(self, wall: float) -> int:
        """Returns an offset before which all records were appended by ``wall``.

        Returns 0 if all marks are later than ``wall``.
        """
        if self.latest[1] <= wall:
            return self.latest[0]
        position = bisect_right(self.times, wall)
        return self.offsets[position - 1] if position else 0
