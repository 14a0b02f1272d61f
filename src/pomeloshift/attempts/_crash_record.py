"""The crashes that one request was running at, as entries tell each other."""

from enum import Enum

import attrs


class QuarantineState(Enum):
    """How a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class CrashRecord:
    """What is known of one fingerprint.

    Entries that see the same crash give it the same name, so that it counts once.
    ``cleared`` holds the crashes that the request cannot have caused, because it
    finished later. ``ttl_s`` is the time in seconds for which this holds.
    """

    fingerprint: str
    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    ttl_s: float = 0.0

    @property
    def count(self) -> int:
        """The number of crashes that the request may have caused."""
        return len(self.crashes - self.cleared)

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Returns what both know; the order of merging makes no difference."""
        return attrs.evolve(
            self,
            crashes=self.crashes | other.crashes,
            cleared=self.cleared | other.cleared,
            ttl_s=max(self.ttl_s, other.ttl_s),
        )
