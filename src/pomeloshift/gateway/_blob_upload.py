"""Stores the blobs of one upload in one append after another."""

from collections.abc import Iterable, Iterator

import attrs

from ..errors import PomeloshiftError, Ran
from ..jobs import BlobRef, split
from ._log_writer import LogWriter

Record = tuple[str, bytes | None]


@attrs.define
class BlobUpload:
    """Blobs of the job ``owner`` that are stored together.

    ``refs`` are the references of those that are stored. ``record_bytes`` is the
    largest record that the store accepts.
    """

    writer: LogWriter
    owner: str
    record_bytes: int
    refs: list[BlobRef] = attrs.field(factory=list, init=False)
    _unknown: list[BlobRef] = attrs.field(factory=list, init=False)

    async def append(self, blobs: Iterable[bytes], timeout_s: float) -> None:
        """Stores blobs; raises the errors of `LogWriter.wait`.

        They are stored in one append, unless they exceed the largest call.
        """
        records: list[Record] = []
        refs = []
        for blob in blobs:
            key = self.writer.new_key(self.owner)
            fragments = split(key, blob, self.record_bytes)
            refs.append(BlobRef(key, len(records), len(blob), len(fragments)))
            records += fragments
        self._unknown = refs
        offsets = await self._append_records(records, self.writer.now() + timeout_s)
        self._unknown = []
        self.refs += [
            BlobRef(ref.key, offsets[ref.offset], ref.size, ref.parts) for ref in refs
        ]

    async def _append_records(self, records: list[Record], until: float) -> list[int]:
        """Appends records and returns their offsets."""
        offsets: list[int] = []
        for call in _calls(records, self.writer.pace.max_bytes):
            try:
                remaining_s = until - self.writer.now()
                first = await self.writer.wait(self.writer.append(call), remaining_s)
            except PomeloshiftError as exc:
                if exc.ran is Ran.NO and not offsets:
                    self._unknown = []
                raise
            offsets += range(first, first + len(call))
        return offsets

    @property
    def left(self) -> list[BlobRef]:
        """References of the blobs that are in the store, or may be."""
        return self.refs + self._unknown


def _calls(records: list[Record], max_bytes: int) -> Iterator[list[Record]]:
    """Divides records among calls of up to ``max_bytes``, at least one record each."""
    call: list[Record] = []
    size = 0
    for key, value in records:
        added = len(key) + len(value or b"")
        if call and size + added > max_bytes:
            yield call
            call, size = [], 0
        call.append((key, value))
        size += added
    yield call
