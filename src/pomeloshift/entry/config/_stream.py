"""Replays the configuration stream and appends to it."""

from loguru import logger
from twisted.internet.defer import DeferredLock

from ...config import CONFIG_STREAM, ConfigCheckpoint, ConfigPublished, ConfigState
from ...log import (
    LogExpiredError,
    LogStore,
    Record,
    RecordCodec,
    RecordError,
    StoredRecord,
)

PAGE_RECORDS = 200


class ConfigStream:
    """Applies the records of the stream to a `ConfigState`.

    ``first_offset`` is the oldest offset that the log still retained at the latest
    read.
    """

    def __init__(self, log: LogStore) -> None:
        self.state = ConfigState()
        self.first_offset = 0
        self.codec = RecordCodec([ConfigPublished, ConfigCheckpoint])
        self._log = log
        self._lock = DeferredLock()

    async def catch_up(self) -> None:
        """Reads to the end of the stream; raises the errors of `LogStore.read`."""
        await self._lock.acquire()
        try:
            while await self._read_page():
                pass
        finally:
            self._lock.release()

    async def append(self, body: ConfigPublished | ConfigCheckpoint, id_: str) -> int:
        """Appends one record and returns its offset."""
        payload = self.codec.encode(Record(id_, body))
        return await self._log.append(CONFIG_STREAM, [payload])

    async def _read_page(self) -> bool:
        offset = self.state.next_offset
        try:
            page = await self._log.read(CONFIG_STREAM, offset, PAGE_RECORDS)
        except LogExpiredError as exc:
            logger.warning("event=config_records_missed first={}", exc.first_offset)
            self.first_offset = exc.first_offset
            self.state.skip_to(exc.first_offset)
            return exc.first_offset > offset
        self.first_offset = page.first_offset
        for stored in page.records:
            self._apply(stored)
        return bool(page.records) and self.state.next_offset < page.next_offset

    def _apply(self, stored: StoredRecord) -> None:
        try:
            record = self.codec.decode(stored.data)
        except RecordError as exc:
            logger.error(
                "event=config_record_unreadable offset={} cause={!r}",
                stored.offset,
                exc.message,
            )
            record = None
        self.state.apply(stored.offset, record)
