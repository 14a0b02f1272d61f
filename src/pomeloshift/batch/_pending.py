"""Chunks whose file or job is not created yet."""

import attrs


@attrs.frozen
class PendingChunk:
    """The offset of a chunk's record, its first item's index and its items' tokens."""

    offset: int
    first_index: int = 0
    tokens: tuple[int, ...] = ()


@attrs.define
class PendingChunks:
    """The chunks of one upload or of one request for a job."""

    chunks: dict[int, PendingChunk] = attrs.field(factory=dict)

    def is_complete(self, count: int) -> bool:
        """Returns whether all of ``count`` chunks are present."""
        return all(number in self.chunks for number in range(count))
