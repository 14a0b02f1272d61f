"""The records that the stand-in for the platform's store holds."""

import attrs

# How many of a producer's last appends get their first response again if repeated.
REPEATS_KEPT = 5


@attrs.frozen
class AppendResult:
    """The offset of an append's first record and the partition's end after it."""

    offset: int
    end: int


@attrs.frozen
class Refusal:
    """Why an append was refused.

    ``why`` is ``"fenced"`` for an old epoch, and ``"seq"`` for a wrong sequence
    number, where ``expected`` is the right one.
    """

    why: str
    expected: int | None = None


@attrs.define
class _Producer:
    epoch: int
    sequence: int = -1
    results: dict[int, AppendResult] = attrs.field(factory=dict)


@attrs.define
class Partition:
    """The records of one partition.

    A record is a key's length in one byte, the key, and the value; an empty value
    deletes the key. ``first`` is the lowest offset that can still be read.
    """

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    _producers: dict[str, _Producer] = attrs.field(factory=dict)

    def append(
        self, records: list[bytes], producer: str, epoch: int, sequence: int
    ) -> AppendResult | Refusal:
        """Appends records and returns where they were stored.

        A repeat of one of the last `REPEATS_KEPT` sequence numbers of a producer's
        epoch has no effect and returns the first result. Without a producer nothing is
        checked.
        """
        if not producer:
            return self._add(records)
        known = self._producers.get(producer)
        if known is None or epoch > known.epoch:
            known = self._producers[producer] = _Producer(epoch, sequence - 1)
        if epoch < known.epoch:
            return Refusal("fenced")
        if sequence in known.results:
            return known.results[sequence]
        if sequence != known.sequence + 1:
            return Refusal("seq", known.sequence + 1)
        known.sequence = sequence
        known.results[sequence] = result = self._add(records)
        known.results.pop(sequence - REPEATS_KEPT, None)
        return result

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns each key's newest offset and value, ordered by key.

        Keys that were deleted are left out.
        """
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.records):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return dict(sorted(found.items()))

    def compact(self) -> None:
        """Makes earlier records unreadable, as retention does.

        Each key's newest record stays available through `newest`.
        """
        self.first = len(self.records)

    def _add(self, records: list[bytes]) -> AppendResult:
        offset = len(self.records)
        self.records += records
        return AppendResult(offset, len(self.records))


@attrs.define
class StoreState:
    """All topics of a store."""

    _partitions: dict[tuple[str, int], Partition] = attrs.field(factory=dict)

    def partition(self, topic: str, number: int) -> Partition:
        """Returns a partition and creates it on first use."""
        return self._partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record to partition 0.

        Operators publish the configuration this way, and engines register this way.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic, 0).append([record], "", 0, 0)
