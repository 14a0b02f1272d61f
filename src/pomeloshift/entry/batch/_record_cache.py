"""An in-memory LRU cache of records that were recently read or appended."""

from collections import OrderedDict

from ...log import Record

RecordKey = tuple[str, int]


class RecordCache:
    """Holds decoded records by stream and offset, up to ``max_bytes`` in total."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._records: OrderedDict[RecordKey, tuple[Record, int]] = OrderedDict()
        self._bytes = 0

    def get(self, key: RecordKey) -> Record | None:
        """Returns a record, or `None` if it is not in the cache."""
        found = self._records.get(key)
        if found is None:
            return None
        self._records.move_to_end(key)
        return found[0]

    def put(self, key: RecordKey, record: Record, size: int) -> None:
        """Adds a record of ``size`` bytes and evicts the least recently used ones."""
        if size > self._max_bytes or key in self._records:
            return
        self._records[key] = (record, size)
        self._bytes += size
        while self._bytes > self._max_bytes:
            _, (_, dropped) = self._records.popitem(last=False)
            self._bytes -= dropped
