"""Chooses the entry that fills an engine's slots with batch items.

Each entry computes this locally from the peers that it knows. While two entries know
different peers, they can put too many items on an engine, which are then preempted.
"""

from collections.abc import Collection

import attrs
import xxhash

LAST_RANK = 2**31


@attrs.define
class Ownership:
    """Assigns engines, or anything with a name, to entries by rendezvous hashing.

    When an entry joins or leaves, few names are assigned to another entry. Entries in
    the same zone as the named object are preferred.

        ownership = Ownership("10.1.0.10")
        ownership.set_members({"10.1.0.10": "a", "10.2.0.7": "b"})
        ownership.owns("i-7f3a91c2", zone="a")
    """

    name: str
    _zones: dict[str, str] = attrs.field(factory=dict)
    _owned: dict[tuple[str, str], bool] = attrs.field(factory=dict)
    _ranks: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def set_members(self, zones: dict[str, str]) -> bool:
        """Sets the entries and their zones; returns whether they changed."""
        if zones == self._zones:
            return False
        self._zones = dict(zones)
        self._owned.clear()
        self._ranks.clear()
        return True

    def owns(self, name: str, zone: str = "") -> bool:
        """Returns whether this entry owns ``name``, which is in ``zone``."""
        owned = self._owned.get((name, zone))
        if owned is None:
            owned = self._owner(name, zone) == self.name
            self._owned[name, zone] = owned
        return owned

    def rank(self, name: str, zone: str = "") -> int:
        """Returns this entry's place, from 0, in the order of the owners of ``name``.

        An entry that is no member, or knows none, ranks after all others.
        """
        rank = self._ranks.get((name, zone))
        if rank is None:
            own = self._order(name, zone, self.name)
            rank = LAST_RANK
            if self.name in self._zones:
                rank = sum(self._order(name, zone, e) > own for e in self._zones)
            self._ranks[name, zone] = rank
        return rank

    def _order(self, name: str, zone: str, entry: str) -> tuple[bool, int]:
        return self._zones.get(entry) == zone, _weight(name, entry)

    def _owner(self, name: str, zone: str) -> str | None:
        near = [entry for entry, its_zone in self._zones.items() if its_zone == zone]
        return max(
            near or self._zones, key=lambda entry: _weight(name, entry), default=None
        )


def rank_among(name: str, own: Collection[str], all_names: Collection[str]) -> int:
    """Returns the place, from 0, of the first of ``own`` in the order for ``name``.

    Whoever knows the same ``all_names`` computes the same order.
    """
    best = max((_weight(name, one) for one in own), default=-1)
    return sum(_weight(name, one) > best for one in all_names)


def _weight(name: str, entry: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{name}\0{entry}".encode()))


def claim_of(job_id: str, index: int) -> int:
    """Returns a 48-bit hash of an item; entries report their items by these hashes."""
    return int(xxhash.xxh3_64_intdigest(f"{job_id}\0{index}".encode())) >> 16
