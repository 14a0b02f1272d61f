"""Chooses which entry reads the configuration stream for others."""

from collections.abc import Iterable

import xxhash


def choose_reader(key: str, names: Iterable[str]) -> str | None:
    """Returns the name with the highest hash for ``key``, or `None` without names.

    Entries that see the same names choose alike; where they do not, several read.
    """
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{name}".encode())
