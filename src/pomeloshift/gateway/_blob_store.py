"""Stores the bodies and outputs of items, which are read on demand.

Blobs have a topic of their own, so that readers of the job log do not read them.
"""

import math
from collections import OrderedDict
from typing import Any

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..jobs import Assembler, BlobRef, base_key, split
from ..platform import HistoryLostError, KeyedRecord, StoreClient
from ._log_writer import LogWriter

TOPIC = "keyed.blobs"
PARTITION = 0
# Size of the cache: a small part of the smallest instance's memory.
CACHE_BYTES = 8 * 1024 * 1024
# A read returns length fields and record keys in addition to the blob's bytes.
READ_SLACK_KB = 2


class BlobLostError(PomeloshiftError):
    """The store does not hold a blob that a record refers to."""

    code = ErrorCode.LOG_EXPIRED
    ran = Ran.NO


class BlobStore:
    """Writes and reads blobs, with a cache of the most recently used ones."""

    def __init__(
        self, store: StoreClient, writer: LogWriter, record_bytes: int
    ) -> None:
        self.writer = writer
        self._store = store
        self._record_bytes = record_bytes
        self._cache: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def put(
        self, owner: str, blobs: list[bytes], timeout_s: float
    ) -> list[BlobRef]:
        """Stores blobs that belong to the job ``owner`` and returns their references.

        Raises the errors of `LogWriter.wait`.
        """
        records: list[tuple[str, bytes | None]] = []
        layout = []
        for blob in blobs:
            key = self.writer.new_key(owner)
            fragments = split(key, blob, self._record_bytes)
            layout.append((key, len(records), len(fragments)))
            records += fragments
        first = await self.writer.wait(self.writer.append(records), timeout_s)
        refs = [
            BlobRef(key, first + at, len(blob), count)
            for (key, at, count), blob in zip(layout, blobs, strict=True)
        ]
        for ref, blob in zip(refs, blobs, strict=True):
            self._cache_blob(ref.key, blob)
        return refs

    async def get(self, ref: BlobRef) -> bytes:
        """Returns a blob; raises `BlobLostError` or an error of the store."""
        blob = self._cache.get(ref.key)
        if blob is not None:
            self._cache.move_to_end(ref.key)
            return blob
        try:
            blob = await self._read(ref)
        except HistoryLostError:
            blob = await self._find_by_key(ref)
        self._cache_blob(ref.key, blob)
        return blob

    async def _read(self, ref: BlobRef) -> bytes:
        """Reads a blob at its offset."""
        max_kb = math.ceil(ref.size / 1024) + READ_SLACK_KB
        assembler = Assembler()
        offset = ref.offset
        while offset < ref.offset + ref.parts:
            page = await self._store.read(
                TOPIC, PARTITION, offset, wait_s=0.0, max_kb=max_kb
            )
            if not page.records:
                raise BlobLostError(f"no record at offset {offset}")
            blob = _assemble(assembler, page.records, ref)
            if blob is not None:
                return blob
            offset = page.next_offset
        raise BlobLostError(f"the blob {ref.key} is incomplete")

    async def _find_by_key(self, ref: BlobRef) -> bytes:
        """Reads a blob by key, if the retained history starts after ``ref.offset``."""
        assembler = Assembler()
        # Sorts directly before the keys of the blob's fragments.
        after = f"{ref.key}!"
        while True:
            page = await self._store.newest(TOPIC, PARTITION, after)
            blob = _assemble(assembler, page.records, ref)
            if blob is not None:
                return blob
            if not page.has_more or not page.records:
                raise BlobLostError(f"the store no longer has the blob {ref.key}")
            after = page.records[-1].key

    def _cache_blob(self, key: str, blob: bytes) -> None:
        if key in self._cache:
            return
        self._cache[key] = blob
        self._cached_bytes += len(blob)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)

    def remove_keys(self, refs: list[BlobRef]) -> list[tuple[str, Any]]:
        """Returns the records whose append removes the blobs from the store."""
        return [
            (fragment_key, None) for ref in refs for fragment_key in ref.fragment_keys()
        ]


def _assemble(
    assembler: Assembler, records: list[KeyedRecord], ref: BlobRef
) -> bytes | None:
    for record in records:
        if base_key(record.key) != ref.key or record.value is None:
            continue
        blob = assembler.add(record.key, record.value)
        if blob is not None:
            return blob
    return None
