"""The items of a queue that are assigned to one entry."""

import attrs


@attrs.frozen
class Share:
    """This entry's part of a queue, which it runs before the other items.

    Items are assigned to the engines by their claims. ``engines`` is the number of
    engines, and ``own`` holds the positions of those that this entry fills.

        Share(3, frozenset({1})).holds(claim_of("j1", 0))
    """

    engines: int
    own: frozenset[int]

    def holds(self, claim: int) -> bool:
        """Returns whether an item is assigned to an engine of this entry."""
        return claim % self.engines in self.own


ALL_ITEMS = Share(1, frozenset({0}))
