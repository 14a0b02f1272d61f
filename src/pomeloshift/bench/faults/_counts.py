"""How often each promise was broken."""

import attrs


@attrs.frozen
class Counts:
    """Broken promises by kind; all have to be 0.

    ``lost``: accepted work without an end. ``doubled``: work that ended, or ran
    where it must not, twice. ``crossed``: an answer to another request. ``cut``: an
    answer that is not whole though it was called so, or was cut by a planned stop.
    ``reverted``: something accepted that did not stay. ``ran_after_refused``: work
    that ran although the caller was told that it did not. ``unreadable``: a result
    that cannot be read. ``orphaned``: work that runs on for nobody. ``poisoned``:
    backend servers that one request brought down beyond two. ``unexpected``: errors
    that the programs logged as faults of their own.
    """

    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    cut: int = 0
    reverted: int = 0
    ran_after_refused: int = 0
    unreadable: int = 0
    orphaned: int = 0
    poisoned: int = 0
    unexpected: int = 0

    @property
    def total(self) -> int:
        """The number of broken promises."""
        return sum(attrs.astuple(self))

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sums by kind."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return Counts(*(one + two for one, two in pairs))
