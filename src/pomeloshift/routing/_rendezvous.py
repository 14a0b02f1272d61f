"""Rendezvous hashing: a stable order of instances for each key."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def score(key: str, name: str) -> int:
    """Returns the weight of ``name`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def top_names(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the ``count`` names with the highest weights, the highest first.

    Adding or removing a name changes at most one other name of the result.
    """
    return sorted(names, key=lambda name: score(key, name), reverse=True)[:count]
