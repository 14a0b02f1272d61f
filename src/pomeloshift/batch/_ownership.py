"""Chooses the entry that owns a partition."""

from collections.abc import Iterable

import xxhash


def owner_of(partition: int, entry_names: Iterable[str]) -> str | None:
    """Returns the owner of a partition by rendezvous hashing, `None` without entries.

    When an entry joins or leaves, only about its own share of the partitions changes
    owner.
    """
    return max(
        entry_names, key=lambda name: (_score(partition, name), name), default=None
    )


def _score(partition: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{partition}/{name}".encode())
