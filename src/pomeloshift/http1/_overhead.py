"""Counts the bytes of a message that are not its body."""

import attrs

# Limit of the bytes beside the body: heads, chunk framing and skipped responses. Each
# byte of the body adds `OVERHEAD_RATIO` to it; a chunk of one byte has five of framing.
MAX_OVERHEAD_BYTES = 1024 * 1024
OVERHEAD_RATIO = 8


@attrs.define
class Overhead:
    """The bytes that were received for one message, and those that are its body."""

    received: int = 0
    body: int = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the peer sent more beside the body than any message needs."""
        limit = MAX_OVERHEAD_BYTES + OVERHEAD_RATIO * self.body
        return self.received - self.body > limit
