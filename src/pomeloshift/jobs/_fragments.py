"""Cuts records that are longer than the store takes."""

import struct

import attrs

HEADER = struct.Struct(">HH")  # this fragment's number and how many there are
KEY_SEPARATOR = "#"
# Room for a key, its length and the fragment's header within a record.
OVERHEAD_BYTES = 300


def split(key: str, data: bytes, record_bytes: int) -> list[tuple[str, bytes]]:
    """Returns the keys and values of the records that hold ``data``."""
    size = record_bytes - OVERHEAD_BYTES
    pieces = [data[at : at + size] for at in range(0, len(data), size)] or [b""]
    return [
        (f"{key}{KEY_SEPARATOR}{number}", HEADER.pack(number, len(pieces)) + piece)
        for number, piece in enumerate(pieces)
    ]


@attrs.define
class Assembler:
    """Puts fragments together again.

    assembler.add("k#0", value)  # the whole data once the last fragment is there
    """

    _parts: dict[str, dict[int, bytes]] = attrs.field(factory=dict)

    def add(self, key: str, value: bytes) -> bytes | None:
        """Takes a fragment; returns the data if it is whole now."""
        if len(value) < HEADER.size:
            return None
        number, count = HEADER.unpack_from(value)
        piece = value[HEADER.size :]
        if count == 1:
            return piece
        base = base_key(key)
        parts = self._parts.setdefault(base, {})
        parts[number] = piece
        if len(parts) < count:
            return None
        del self._parts[base]
        return b"".join(parts[n] for n in range(count))


def base_key(key: str) -> str:
    """Returns the key that all fragments of a record share."""
    return key.rpartition(KEY_SEPARATOR)[0]
