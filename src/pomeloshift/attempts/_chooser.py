"""The interfaces through which an online request chooses servers and retries."""

from typing import Protocol

import attrs

from ..errors import ErrorReport
from ..model import Instance


@attrs.frozen
class Target:
    """A backend server, with the incarnation of its sidecar or 0 if unknown."""

    instance: Instance
    incarnation: int = 0


class Chooser(Protocol):
    """Chooses where the next attempt runs."""

    def refusal(self, now: float) -> ErrorReport | None:
        """Returns why the request must not run on any server, or `None`."""

    def is_suspect(self, now: float) -> bool:
        """Returns whether the request may have crashed a backend server."""

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns a backend server outside ``excluded``, or `None`.

        With ``alone`` every entry chooses the same server, whose sidecar runs one
        suspect at a time.
        """


class Budget(Protocol):
    """Limits the retries of all requests of an entry."""

    def try_spend(self, now: float) -> bool:
        """Takes one retry out of the budget; returns false if it is used up."""
