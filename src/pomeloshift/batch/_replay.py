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
    """Asks for pages of a stream until the state is that of its end.

    A stream that is there from offset 0 is folded from there. Otherwise the first
    complete checkpoint whose tail is still there is the start; any such checkpoint
    gives the same state.

        replay = PartitionReplay(codec)
        while not replay.is_done:
            replay.take(read(replay.next_offset))   # `expired` where that fails
    """

    def __init__(self, codec: RecordCodec) -> None:
        self.state = PartitionState()
        self.is_done = False
        self.unreadable = 0
        self.has_lost_state = False
        self._codec = codec
        self._assembler: CheckpointAssembler | None = None
        self._first_kept = 0
        self._searched_to = 0

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        if self._assembler is not None:
            return self._searched_to
        return self.state.next_offset

    def expired(self, first_offset: int) -> None:
        """Starts anew after a read that came too late."""
        self.state = PartitionState()
        self._assembler = CheckpointAssembler()
        self._first_kept = first_offset
        self._searched_to = first_offset

    def take(self, page: LogPage) -> None:
        """Takes the page that was read at `next_offset`."""
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
        elif self._searched_to >= page.next_offset:
            self._start_empty()

    def _find(
        self, records: Sequence[StoredRecord], assembler: CheckpointAssembler
    ) -> Checkpoint | None:
        for stored in records:
            self._searched_to = stored.offset + 1
            try:
                body = self._codec.decode(stored.data).body
            except RecordError:
                continue
            if not isinstance(body, CheckpointPart | CheckpointEnd):
                continue
            found = assembler.add(body)
            if found is not None and found.as_of >= self._first_kept:
                return found
        return None

    def _start_empty(self) -> None:
        self.has_lost_state = self._first_kept > 0
        self.state = PartitionState()
        self.state.next_offset = self._first_kept
        self._assembler = None
