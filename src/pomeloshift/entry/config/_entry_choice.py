"""Chooses one entry for a task that a single entry should do."""

from collections.abc import Iterable

import xxhash


def choose_entry(key: str, names: Iterable[str]) -> str | None:
    """Returns the name with the highest hash for ``key``, or `None` without names.

    ``key`` identifies the task. Entries that see the same names choose the same
    entry; while their lists differ, several entries may do the task.
    """
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{name}".encode())
