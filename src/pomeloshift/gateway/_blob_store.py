"""Stores the bodies and outputs of items, which are read on demand.

Blobs have a topic of their own, so that readers of the job log do not read them.
"""

import math
from collections import OrderedDict
from typing import Any

from twisted.internet.defer import CancelledError

from ..appends import UploadPlan
from ..errors import ErrorCode, PomeloshiftError, Ran
from ..jobs import Assembler, BlobRef, base_key
from ..platform import HistoryLostError, KeyedRecord, StoreClient
from ._blob_upload import BlobUpload
from ._events import EventLog
from ._log_writer import LogUnavailableError, LogWriter

TOPIC = "keyed.blobs"
PARTITION = 0
# Size of the cache: a small part of the smallest instance's memory.
CACHE_BYTES = 8 * 1024 * 1024
# How often a removal is tried whose outcome stays unknown.
REMOVAL_TRIES = 5
# A read returns length fields and record keys in addition to the blob's bytes.
READ_SLACK_KB = 2


class BlobLostError(PomeloshiftError):
    """The store does not hold a blob that a record refers to."""

    code = ErrorCode.LOG_EXPIRED
    ran = Ran.NO


class BlobStore:
    """Writes and reads blobs, with a cache of the most recently used ones."""

    def __init__(
        self,
        store: StoreClient,
        writer: LogWriter,
        record_bytes: int,
        events: EventLog,
    ) -> None:
        self.writer = writer
        self._events = events
        self._store = store
        self._record_bytes = record_bytes
        self._cache: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def put(
        self,
        owner: str,
        blobs: list[bytes],
        timeout_s: float,
        append_timeout_s: float | None = None,
    ) -> list[BlobRef]:
        """Stores blobs that belong to the job ``owner`` and returns their references.

        They are stored in several appends if the path to the store is too slow for one,
        so that other records are written between them. Each is waited for up to
        ``append_timeout_s`` seconds, all together up to ``timeout_s``, and none is
        begun once the rest cannot be stored in time. Blobs of an upload that fails are
        removed. Raises the errors of `LogWriter.wait`.
        """
        writer = self.writer
        plan = UploadPlan([len(blob) for blob in blobs], writer.now() + timeout_s)
        upload = BlobUpload(writer, owner, self._record_bytes)
        try:
            while group := plan.next_group(writer.pace.call_bytes):
                began_at = writer.now()
                remaining_s = plan.until - began_at
                await upload.append(
                    [blobs[index] for index in group],
                    min(remaining_s, append_timeout_s or remaining_s),
                )
                plan.note_stored(writer.now() - began_at)
                if plan.is_too_late(writer.now()):
                    raise LogUnavailableError("the path to the store is too slow")
        except (PomeloshiftError, CancelledError) as exc:
            self._events.warn(
                "upload_abandoned",
                job=owner,
                bytes=sum(plan.sizes),
                stored=sum(ref.size for ref in upload.refs),
                why=str(exc) or type(exc).__name__,
            )
            self.remove(upload.left)
            raise
        for ref, blob in zip(upload.refs, blobs, strict=True):
            self._cache_blob(ref.key, blob)
        return upload.refs

    async def get(self, ref: BlobRef) -> bytes:
        """Returns a blob; raises `BlobLostError` or an error of the store."""
        blob = self._cache.get(ref.key)
        if blob is not None:
            self._cache.move_to_end(ref.key)
            return blob
        blob = await self._read(ref)
        if blob is None:
            blob = await self._find_by_key(ref)
        self._cache_blob(ref.key, blob)
        return blob

    async def _read(self, ref: BlobRef) -> bytes | None:
        """Reads a blob at its offset, if its records are together and still there."""
        if ref.size > self.writer.pace.max_bytes:
            return None
        max_kb = math.ceil(ref.size / 1024) + READ_SLACK_KB
        assembler = Assembler()
        offset = ref.offset
        while offset < ref.offset + ref.parts:
            try:
                page = await self._store.read(
                    TOPIC, PARTITION, offset, wait_s=0.0, max_kb=max_kb
                )
            except HistoryLostError:
                return None
            if not page.records:
                raise BlobLostError(f"no record at offset {offset}")
            blob = _assemble(assembler, page.records, ref)
            if blob is not None:
                return blob
            offset = page.next_offset
        # Its records are in several appends, with those of other gateways between them.
        return None

    async def _find_by_key(self, ref: BlobRef) -> bytes:
        """Reads a blob by key, wherever its records are."""
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

    def remove(self, refs: list[BlobRef], tries: int = REMOVAL_TRIES) -> None:
        """Removes blobs from the store, once it is known whether they are in it.

        A removal with an unknown outcome is repeated, up to ``tries`` calls in all.
        """
        if refs:
            keys = [key for ref in refs for key in ref.fragment_keys()]
            removal = self.writer.append([(key, None) for key in keys])
            removal.done.addErrback(self._note_removal_failed, refs, tries - 1)

    def _note_removal_failed(
        self, failure: Any, refs: list[BlobRef], tries: int
    ) -> None:
        failure.trap(PomeloshiftError)
        self._events.warn("removal_failed", why=failure.value.message, tries=tries)
        if tries > 0 and failure.value.ran is Ran.UNKNOWN:
            self.remove(refs, tries)


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
