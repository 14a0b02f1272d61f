"""Splits data that exceeds the store's record size into fragments."""

import struct

import attrs

HEADER = struct.Struct(">HH")  # fragment number, fragment count
KEY_SEPARATOR = "#"
# Bytes reserved in a record for its key, the key's length and the fragment header.
OVERHEAD_BYTES = 300


def split(key: str, data: bytes, record_bytes: int) -> list[tuple[str, bytes]]:
    """Returns the keys and values of the records that hold ``data``.

    ``record_bytes`` is the largest record that the store accepts.
    """
    size = record_bytes - OVERHEAD_BYTES
    fragments = [data[at : at + size] for at in range(0, len(data), size)] or [b""]
    return [
        (
            f"{key}{KEY_SEPARATOR}{number}",
            HEADER.pack(number, len(fragments)) + fragment,
        )
        for number, fragment in enumerate(fragments)
    ]


@attrs.define
class Assembler:
    """Reassembles data from its fragments, which may arrive in any order.

    assembler.add("k#0", value)  # the complete data once all fragments were added
    """

    _fragments: dict[str, dict[int, bytes]] = attrs.field(factory=dict)

    def add(self, key: str, value: bytes) -> bytes | None:
        """Adds a fragment; returns the data once it is complete, else None."""
        if len(value) < HEADER.size:
            return None
        number, count = HEADER.unpack_from(value)
        fragment = value[HEADER.size :]
        if count == 1:
            return fragment
        base = base_key(key)
        fragments = self._fragments.setdefault(base, {})
        fragments[number] = fragment
        if len(fragments) < count:
            return None
        del self._fragments[base]
        return b"".join(fragments[n] for n in range(count))


def base_key(key: str) -> str:
    """Returns the key that all fragments of a record share."""
    return key.rpartition(KEY_SEPARATOR)[0]
