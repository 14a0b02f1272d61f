"""Chooses the backend servers of one request."""

import attrs

from ...attempts import Standing, SuspectTracker, Target
from ...errors import ErrorReport
from ...routing import RouteQuery, Router
from ._errors import QuarantinedError


@attrs.define
class RouteChooser:
    """Asks the router, with the rules for crash suspects applied.

    ``deadline_at`` is on the clock of ``now``.
    """

    router: Router
    suspects: SuspectTracker
    query: RouteQuery
    fingerprint: str
    deadline_at: float

    def refusal(self, now: float) -> ErrorReport | None:
        """Returns the error of a quarantined request."""
        if self.suspects.standing(self.fingerprint, now) is not Standing.QUARANTINED:
            return None
        wait_s = self.suspects.quarantined_for(self.fingerprint, now)
        message = "equal requests have crashed backend servers"
        return QuarantinedError(message, retry_after_s=wait_s).report()

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns the next backend server, or `None` if there is none now."""
        if alone:
            if self.suspects.servers_running(self.fingerprint):
                return None
            excluded = excluded | self.suspects.servers_with_suspects(now)
        return self._ask(excluded, alone, now, self.query.body_bytes)

    def is_blocked(self, excluded: frozenset[str], now: float) -> bool:
        """Tells whether only other suspects keep a suspect from running."""
        return self._ask(excluded, True, now, body_bytes=0) is not None

    def _ask(
        self, excluded: frozenset[str], alone: bool, now: float, body_bytes: int
    ) -> Target | None:
        query = attrs.evolve(
            self.query,
            body_bytes=body_bytes,
            excluded=excluded,
            alone=alone,
            deadline_s=max(0.0, self.deadline_at - now),
        )
        route = self.router.choose(query, now)
        if route is None:
            return None
        return Target(route.instance, self.router.incarnation(route.instance.name))
