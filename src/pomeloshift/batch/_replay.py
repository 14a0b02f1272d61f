"""Rebuilds a partition's state from its stream."""

from collections.abc import Sequence

from ..log import (
    Checkpoint,
    CheckpointAssembler,
    CheckpointEnd,
    CheckpointPart,
    LogPage,
    RecordCodec,
    RecordError,
    StoredRecord,
)
from ._snapshot import restore_state
from ._state import PartitionState


class PartitionReplay:
    """Applies pages of a stream until the state includes its last record.

    If the stream is still available from offset 0, the replay starts there. Otherwise
    it starts from the first complete checkpoint whose following records are all
    available; any such checkpoint gives the same state. If there is none, the state
    starts empty and ``has_lost_state`` is true. ``unreadable`` counts records that
    cannot be decoded.

        replay = PartitionReplay(codec)
        while not replay.is_done:
            replay.apply_page(read(replay.next_offset))   # or `restart`
    """

    def __init__(self, codec: RecordCodec) -> None:
        self.state = PartitionState()
        self.is_done = False
        self.unreadable = 0
        self.has_lost_state = False
        self._codec = codec
        self._assembler: CheckpointAssembler | None = None
        self._first_available = 0
        self._search_offset = 0

    @property
    def next_offset(self) -> int:
        """The offset of the page to read next."""
        if self._assembler is not None:
            return self._search_offset
        return self.state.next_offset

    def restart(self, first_offset: int) -> None:
        """Restarts from ``first_offset`` after a read whose records had expired."""
        self.state = PartitionState()
        self._assembler = CheckpointAssembler()
        self._first_available = first_offset
        self._search_offset = first_offset

    def apply_page(self, page: LogPage) -> None:
        """Applies the page that was read at `next_offset`."""
        if self._assembler is not None:
            self._search(page, self._assembler)
            return
        for stored in page.records:
            self._apply(stored)
        self.is_done = self.state.next_offset >= page.next_offset

    def _apply(self, stored: StoredRecord) -> None:
        if stored.offset != self.state.next_offset:
            return
        try:
            record = self._codec.decode(stored.data)
        except RecordError:
            self.unreadable += 1
            self.state.advance(stored.offset)
            return
        self.state.apply(stored.offset, record)

    def _search(self, page: LogPage, assembler: CheckpointAssembler) -> None:
        checkpoint = self._find(page.records, assembler)
        if checkpoint is not None:
            self.state = restore_state(checkpoint)
            self._assembler = None
        elif self._search_offset >= page.next_offset:
            self._start_empty()

    def _find(
        self, records: Sequence[StoredRecord], assembler: CheckpointAssembler
    ) -> Checkpoint | None:
        for stored in records:
            self._search_offset = stored.offset + 1
            try:
                body = self._codec.decode(stored.data).body
            except RecordError:
                continue
            if not isinstance(body, CheckpointPart | CheckpointEnd):
                continue
            found = assembler.add(body)
            if found is not None and found.as_of >= self._first_available:
                return found
        return None

    def _start_empty(self) -> None:
        self.has_lost_state = self._first_available > 0
        self.state = PartitionState()
        self.state.next_offset = self._first_available
        self._assembler = None
