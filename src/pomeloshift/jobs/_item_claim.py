"""The claim of a resumed item in the job log."""

import attrs

# How long other entries leave an item to the process that resumed it. A run mostly ends
# within this time, and a process that ends it sooner records that.
CLAIM_VALID_S = 4.0


@attrs.frozen
class ItemClaim:
    """States in the job log that the process ``by`` resumed an item.

    Heartbeats also report claims, but only the log reaches entries that do not hear
    each other. Of two claims the later one, at the higher ``offset``, is in force.
    ``at`` is the monotonic time in seconds at which the claim was replayed.
    """

    by: str
    offset: int
    at: float

    def excludes(self, name: str, now: float) -> bool:
        """Returns whether the process ``name`` must not start the item at ``now``."""
        return self.by != name and now - self.at < CLAIM_VALID_S

    def supersedes(self, name: str, offset: int) -> bool:
        """Returns whether ``name`` must end its run, claimed at ``offset``."""
        return self.by != name and self.offset > offset
