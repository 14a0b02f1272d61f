"""The choice of a backend server as an online request sees it."""

from typing import Protocol

import attrs

from ..model import Instance


@attrs.frozen
class Target:
    """A backend server, with the incarnation of its sidecar or 0 if unknown."""

    instance: Instance
    incarnation: int = 0


class Chooser(Protocol):
    """Chooses where the next attempt runs."""

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns a backend server outside ``excluded``, or `None`.

        With ``alone`` the server must not be running another suspect.
        """


class Budget(Protocol):
    """Permits retries."""

    def try_spend(self, now: float) -> bool:
        """Takes one retry out of the budget; false if it is used up."""
