"""The choice of a backend server as an online request sees it."""

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
        """Returns why the request must not run at all, or `None`."""

    def is_suspect(self, now: float) -> bool:
        """Tells whether the request may have crashed a backend server."""

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns a backend server outside ``excluded``, or `None`.

        With ``alone`` every entry chooses the same server, whose sidecar runs one
        suspect at a time.
        """


class Budget(Protocol):
    """Permits retries."""

    def try_spend(self, now: float) -> bool:
        """Takes one retry out of the budget; false if it is used up."""
