"""Counts of violated guarantees."""

import attrs


@attrs.frozen
class Counts:
    """Violated guarantees by kind; each count must be 0.

    ``lost``: accepted work without an outcome. ``doubled``: work with two outcomes, or
    non-idempotent work that ran twice. ``crossed``: a response that belongs to another
    request. ``cut``: a response that is incomplete although it was marked as complete,
    or that a planned stop truncated. ``reverted``: an accepted change that was undone.
    ``ran_after_refused``: work that ran although the caller was told that it did not.
    ``unreadable``: a result that cannot be read. ``orphaned``: work that still runs
    with no request waiting for it, or that a backend server started while draining.
    ``poisoned``: backend servers that one request crashed beyond the limit of two.
    ``unexpected``: errors that a program logged or failed to handle.
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
        """The number of violated guarantees of all kinds."""
        return sum(attrs.astuple(self))

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum with ``other``, kind by kind."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return Counts(*(one + two for one, two in pairs))
