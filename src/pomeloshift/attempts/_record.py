"""One attempt as a sidecar's registry keeps it."""

import attrs

from ..errors import ErrorReport
from ..wire import Frame


@attrs.define
class AttemptRecord:
    """The frames of an attempt's answer, from ``first_kept`` on."""

    attempt_id: str
    alone: bool = False
    frames: list[Frame] = attrs.field(factory=list)
    first_kept: int = 0
    kept_bytes: int = 0
    ended: bool = False
    ended_at: float | None = None

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next frame."""
        return self.first_kept + len(self.frames)

    def append(self, payload: bytes, tokens: int, status: int, kind: str) -> Frame:
        """Adds a frame that is not the last one and returns it."""
        return self._keep(
            Frame(
                self.attempt_id,
                self.next_sequence,
                payload,
                tokens,
                status=status,
                content_type=kind,
            )
        )

    def end(self, error: ErrorReport | None = None) -> Frame:
        """Adds the last frame, which has the total, and returns it."""
        self.ended = True
        sequence = self.next_sequence
        return self._keep(
            Frame(self.attempt_id, sequence, total=sequence + 1, error=error)
        )

    def frames_from(self, sequence: int) -> tuple[Frame, ...]:
        """Returns the kept frames from ``sequence`` on."""
        return tuple(self.frames[max(0, sequence - self.first_kept) :])

    def trim(self, max_bytes: int) -> None:
        """Drops the oldest frames until at most ``max_bytes`` are kept."""
        drop = 0
        while self.kept_bytes > max_bytes and drop < len(self.frames) - 1:
            self.kept_bytes -= len(self.frames[drop].payload)
            drop += 1
        if drop:
            del self.frames[:drop]
            self.first_kept += drop

    def _keep(self, frame: Frame) -> Frame:
        self.frames.append(frame)
        self.kept_bytes += len(frame.payload)
        return frame
