"""What entries exchange about crashes during which a request was running."""

from enum import Enum

import attrs


class QuarantineState(Enum):
    """How a request may be run.

    A ``SUSPECT`` runs exclusively, with no other suspect on its server; a
    ``QUARANTINED`` request is not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class CrashRecord:
    """The crashes during which the request of one fingerprint was running.

    Entries that observe the same crash give it the same name, so that it counts
    once. ``cleared`` holds the crashes that the request cannot have caused, because
    it finished later. The record expires after ``ttl_s`` seconds.
    """

    fingerprint: str
    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    ttl_s: float = 0.0

    @property
    def count(self) -> int:
        """The number of crashes, without the cleared ones."""
        return len(self.crashes - self.cleared)

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Returns the union of both records; merging is commutative."""
        return attrs.evolve(
            self,
            crashes=self.crashes | other.crashes,
            cleared=self.cleared | other.cleared,
            ttl_s=max(self.ttl_s, other.ttl_s),
        )
