"""Divides data that need not be appended at once among several appends."""

from collections.abc import Sequence

import attrs

from ._call_pace import CALL_S


@attrs.define
class UploadPlan:
    """Which blobs the next append holds, and whether the rest can be stored in time.

        plan = UploadPlan([15_000] * 130, until=12.4)
        plan.next_group(call_bytes=65_536)  # range(0, 4)
        plan.note_stored(took_s=0.08)
        plan.is_too_late(now=10.9)

    ``sizes`` are those of the blobs in bytes. ``until`` is when all of them have to be
    stored, in monotonic seconds. Handles one upload, with one append at a time.
    """

    sizes: Sequence[int]
    until: float
    _stored: int = 0
    _group: range = range(0)
    _seconds_per_byte: float = 0.0

    def next_group(self, call_bytes: int) -> range:
        """Returns the indices of the blobs to append next, none once all are stored.

        They have ``call_bytes`` bytes at most, unless a single blob has more.
        """
        end, size = self._stored, 0
        while end < len(self.sizes):
            size += self.sizes[end]
            if size > call_bytes and end > self._stored:
                break
            end += 1
        self._group = range(self._stored, end)
        return self._group

    def note_stored(self, took_s: float) -> None:
        """Records that the last group is stored, ``took_s`` seconds after its append.

        The time of a short append is mostly latency and says little about the rest.
        """
        size = sum(self.sizes[index] for index in self._group)
        self._stored = self._group.stop
        if took_s >= CALL_S and size > 0:
            known = self._seconds_per_byte or float("inf")
            self._seconds_per_byte = min(known, took_s / size)

    def is_too_late(self, now: float) -> bool:
        """Returns whether the rest takes longer than there is time, as measured."""
        rest = sum(self.sizes[self._stored :])
        return now + rest * self._seconds_per_byte > self.until
