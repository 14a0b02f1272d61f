"""Which items of a queue are an entry's to run first."""

import attrs


@attrs.frozen
class Share:
    """This entry's part of a queue.

    Items are dealt to the engines by their claims; ``parts`` is the number of engines
    and ``own`` holds the positions of those that this entry fills.

        Share(3, frozenset({1})).holds(claim_of("j1", 0))
    """

    parts: int
    own: frozenset[int]

    def holds(self, claim: int) -> bool:
        """Whether an item is dealt to an engine of this entry."""
        return claim % self.parts in self.own


WHOLE = Share(1, frozenset({0}))
