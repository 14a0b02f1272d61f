"""One attempt in a sidecar's registry."""

import attrs

from ..errors import ErrorReport
from ..wire import Frame


@attrs.define
class AttemptRecord:
    """The frames of an attempt's response, from ``first_sequence`` on.

    ``held_bytes`` is the size of the payloads that are still in memory.
    """

    attempt_id: str
    alone: bool = False
    frames: list[Frame] = attrs.field(factory=list)
    first_sequence: int = 0
    held_bytes: int = 0
    is_ended: bool = False
    ended_at: float | None = None

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next frame."""
        return self.first_sequence + len(self.frames)

    def append(
        self, payload: bytes, tokens: int, status: int, content_type: str
    ) -> Frame:
        """Adds a frame that is not the last one and returns it."""
        return self._add(
            Frame(
                self.attempt_id,
                self.next_sequence,
                payload,
                tokens,
                status=status,
                content_type=content_type,
            )
        )

    def end(self, error: ErrorReport | None = None) -> Frame:
        """Adds the last frame, which holds the number of frames, and returns it."""
        self.is_ended = True
        sequence = self.next_sequence
        return self._add(
            Frame(self.attempt_id, sequence, total=sequence + 1, error=error)
        )

    def frames_from(self, sequence: int) -> tuple[Frame, ...]:
        """Returns the frames still in memory from ``sequence`` on."""
        return tuple(self.frames[max(0, sequence - self.first_sequence) :])

    def trim(self, max_bytes: int) -> None:
        """Drops the oldest frames, but not the last, to hold at most ``max_bytes``."""
        drop = 0
        while self.held_bytes > max_bytes and drop < len(self.frames) - 1:
            self.held_bytes -= len(self.frames[drop].payload)
            drop += 1
        if drop:
            del self.frames[:drop]
            self.first_sequence += drop

    def _add(self, frame: Frame) -> Frame:
        self.frames.append(frame)
        self.held_bytes += len(frame.payload)
        return frame
