"""Checkpoints of replayed state, appended in parts to the stream itself."""

import hashlib

import attrs

from ._record import Record

PART_BYTES = 262_144
MAX_OPEN_CHECKPOINTS = 16


@attrs.frozen
class CheckpointPart:
    """A part of the state after all records before the offset ``as_of``."""

    checkpoint_id: str
    as_of: int
    part: int
    data: bytes


@attrs.frozen
class CheckpointEnd:
    """Marks that all ``parts`` of a checkpoint have been appended.

    ``digest`` is the SHA-256 of the complete state in hexadecimal.
    """

    checkpoint_id: str
    as_of: int
    parts: int
    digest: str


@attrs.frozen
class Checkpoint:
    """The complete state after all records before the offset ``as_of``."""

    checkpoint_id: str
    as_of: int
    data: bytes


def checkpoint_records(
    checkpoint: Checkpoint, part_bytes: int = PART_BYTES
) -> list[Record]:
    """Returns the records of a checkpoint, the end marker last."""
    checkpoint_id, as_of, data = attrs.astuple(checkpoint, recurse=False)
    starts = range(0, max(1, len(data)), part_bytes)
    parts: list[CheckpointPart | CheckpointEnd] = [
        CheckpointPart(checkpoint_id, as_of, number, data[start : start + part_bytes])
        for number, start in enumerate(starts)
    ]
    parts.append(CheckpointEnd(checkpoint_id, as_of, len(parts), _digest(data)))
    return [
        Record(f"{checkpoint_id}/{number}", body) for number, body in enumerate(parts)
    ]


class CheckpointAssembler:
    """Reassembles checkpoints from the records of a stream.

    Parts may be repeated, and parts of several checkpoints may be interleaved. A
    checkpoint with a missing or corrupt part is never returned.
    """

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}

    def add(self, body: CheckpointPart | CheckpointEnd) -> Checkpoint | None:
        """Adds a record; returns the checkpoint that it completes, or `None`."""
        key = (body.checkpoint_id, body.as_of)
        if isinstance(body, CheckpointPart):
            self._parts.setdefault(key, {})[body.part] = body.data
            if len(self._parts) > MAX_OPEN_CHECKPOINTS:
                del self._parts[next(iter(self._parts))]
            return None
        parts = self._parts.pop(key, {})
        if set(parts) != set(range(body.parts)):
            return None
        data = b"".join(parts[number] for number in range(body.parts))
        if _digest(data) != body.digest:
            return None
        return Checkpoint(body.checkpoint_id, body.as_of, data)


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
