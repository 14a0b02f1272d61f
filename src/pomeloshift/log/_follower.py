"""Follows a stream from an offset without gaps or duplicates."""

from collections.abc import Sequence

from ._store import LogPage, StoredRecord


class StreamFollower:
    """Tracks how far a stream has been read.

    `take_page` is called with the result of a read and `take_own` with the records
    of an own append. Both return only the records that directly follow those already
    returned.
    """

    def __init__(self, stream: str, next_offset: int = 0) -> None:
        self.stream = stream
        self.next_offset = next_offset
        self.known_end = next_offset

    @property
    def is_behind(self) -> bool:
        """Whether the stream is known to hold records that were not returned yet."""
        return self.next_offset < self.known_end

    def take_page(self, page: LogPage) -> list[StoredRecord]:
        """Returns the records of a page that were not returned before."""
        self.known_end = max(self.known_end, page.next_offset)
        records = []
        for stored in page.records:
            if stored.offset == self.next_offset:
                records.append(stored)
                self.next_offset += 1
        return records

    def take_own(
        self, first_offset: int, payloads: Sequence[bytes]
    ) -> list[StoredRecord]:
        """Returns the appended records if all earlier records were returned before.

        If there are records of other writers in between, it returns none, and
        `is_behind` is true until the stream has been read.
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
