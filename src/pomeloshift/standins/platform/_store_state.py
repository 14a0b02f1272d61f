"""What a stand-in of the platform's store keeps."""

import attrs


@attrs.frozen
class Appended:
    """The offset of an append's first record and the partition's end after it."""

    offset: int
    end: int


@attrs.frozen
class Refusal:
    """Why an append was refused, and the sequence number that would fit."""

    why: str
    expected: int | None = None


@attrs.define
class _Producer:
    epoch: int
    sequence: int = -1
    answers: dict[int, Appended] = attrs.field(factory=dict)


@attrs.define
class Partition:
    """The records of one partition; ``first`` is the oldest one kept."""

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    _producers: dict[str, _Producer] = attrs.field(factory=dict)

    def append(
        self, records: list[bytes], producer: str, epoch: int, sequence: int
    ) -> Appended | Refusal:
        """Appends records once for each producer, epoch and sequence number."""
        if not producer:
            return self._add(records)
        known = self._producers.get(producer)
        if known is None or epoch > known.epoch:
            known = self._producers[producer] = _Producer(epoch, sequence - 1)
        if epoch < known.epoch:
            return Refusal("fenced")
        if sequence in known.answers:
            return known.answers[sequence]
        if sequence != known.sequence + 1:
            return Refusal("seq", known.sequence + 1)
        known.sequence = sequence
        known.answers[sequence] = answer = self._add(records)
        return answer

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns each key's newest offset and value, in the order of the keys."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.records):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return dict(sorted(found.items()))

    def forget_history(self) -> None:
        """Drops what was appended so far, except the newest record of each key."""
        self.first = len(self.records)

    def _add(self, records: list[bytes]) -> Appended:
        offset = len(self.records)
        self.records += records
        return Appended(offset, len(self.records))


@attrs.define
class StoreState:
    """All topics of a store."""

    _partitions: dict[tuple[str, int], Partition] = attrs.field(factory=dict)

    def partition(self, topic: str, number: int) -> Partition:
        """Returns a partition, which is made on its first use."""
        return self._partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a key as the operator or an engine does."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic, 0).append([record], "", 0, 0)
