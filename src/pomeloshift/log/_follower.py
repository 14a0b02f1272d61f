"""Follows a stream from an offset without gaps or repeats."""

from collections.abc import Sequence

from ._store import LogPage, StoredRecord


class StreamFollower:
    """Tracks how far a stream has been read.

    `take_page` accepts the answer to a read and `take_own` the records of an own
    append; both return only what directly continues the part already seen.
    """

    def __init__(self, stream: str, next_offset: int = 0) -> None:
        self.stream = stream
        self.next_offset = next_offset
        self.known_end = next_offset

    @property
    def is_behind(self) -> bool:
        """Whether the stream is known to hold records that were not taken."""
        return self.next_offset < self.known_end

    def take_page(self, page: LogPage) -> list[StoredRecord]:
        """Returns the records of a page that were not taken before."""
        self.known_end = max(self.known_end, page.next_offset)
        taken = []
        for stored in page.records:
            if stored.offset == self.next_offset:
                taken.append(stored)
                self.next_offset += 1
        return taken

    def take_own(
        self, first_offset: int, payloads: Sequence[bytes]
    ) -> list[StoredRecord]:
        """Returns the appended records if nothing precedes them that was not taken.

        With records of other writers in between it returns none, and `is_behind`
        says that the stream has to be read.
        """
        end = first_offset + len(payloads)
        self.known_end = max(self.known_end, end)
        if first_offset != self.next_offset:
            return []
        self.next_offset = end
        return [
            StoredRecord(first_offset + position, payload)
            for position, payload in enumerate(payloads)
        ]
