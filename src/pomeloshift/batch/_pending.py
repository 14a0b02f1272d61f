"""Chunks whose file or job has not been created yet."""

import attrs


@attrs.frozen
class PendingChunk:
    """Where a chunk is and which items it holds."""

    offset: int
    first_index: int = 0
    tokens: tuple[int, ...] = ()


@attrs.define
class PendingChunks:
    """The chunks of one upload or of one request for a job."""

    chunks: dict[int, PendingChunk] = attrs.field(factory=dict)

    def is_whole(self, count: int) -> bool:
        """Tells whether the chunks are all there."""
        return all(number in self.chunks for number in range(count))
