"""Checkpoints of a fold's state, appended in parts to the stream itself."""

import hashlib

import attrs

from ._record import Record

PART_BYTES = 262_144
OPEN_CHECKPOINTS = 16


@attrs.frozen
class CheckpointPart:
    """A part of the state as of the offset ``as_of`` exclusively."""

    checkpoint_id: str
    as_of: int
    part: int
    data: bytes


@attrs.frozen
class CheckpointEnd:
    """Marks that all ``parts`` of a checkpoint have been appended."""

    checkpoint_id: str
    as_of: int
    parts: int
    digest: str


@attrs.frozen
class Checkpoint:
    """The whole state after all records before the offset ``as_of``."""

    checkpoint_id: str
    as_of: int
    data: bytes


def checkpoint_records(
    checkpoint: Checkpoint, part_bytes: int = PART_BYTES
) -> list[Record]:
    """Returns the records that carry a checkpoint, the end marker last."""
    ident, as_of, data = attrs.astuple(checkpoint, recurse=False)
    starts = range(0, max(1, len(data)), part_bytes)
    parts: list[CheckpointPart | CheckpointEnd] = [
        CheckpointPart(ident, as_of, number, data[start : start + part_bytes])
        for number, start in enumerate(starts)
    ]
    parts.append(CheckpointEnd(ident, as_of, len(parts), _digest(data)))
    return [Record(f"{ident}/{number}", body) for number, body in enumerate(parts)]


class CheckpointAssembler:
    """Puts checkpoints together from the records of a stream.

    Parts may be repeated and several checkpoints may be mixed. A checkpoint of
    which a part is missing or garbled is never returned.
    """

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}

    def add(self, body: CheckpointPart | CheckpointEnd) -> Checkpoint | None:
        """Takes a record and returns the checkpoint that it makes whole."""
        key = (body.checkpoint_id, body.as_of)
        if isinstance(body, CheckpointPart):
            self._parts.setdefault(key, {})[body.part] = body.data
            if len(self._parts) > OPEN_CHECKPOINTS:
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
