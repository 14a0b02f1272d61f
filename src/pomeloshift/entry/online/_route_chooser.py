"""Chooses the backend servers of one request."""

import attrs

from ...attempts import QuarantineState, SuspectTracker, Target
from ...errors import ErrorReport
from ...routing import RouteQuery, Router
from ._errors import QuarantinedError


@attrs.define
class RouteChooser:
    """Chooses routes for one request, under the rules for crash suspects.

    ``deadline_at`` and ``now`` are in monotonic seconds.
    """

    router: Router
    suspects: SuspectTracker
    query: RouteQuery
    fingerprint: str
    deadline_at: float

    def refusal(self, now: float) -> ErrorReport | None:
        """Returns the error if the request is quarantined, else `None`."""
        if (
            self.suspects.quarantine_state(self.fingerprint, now)
            is not QuarantineState.QUARANTINED
        ):
            return None
        wait_s = self.suspects.quarantined_for(self.fingerprint, now)
        message = "the request is quarantined: equal requests crashed backend servers"
        return QuarantinedError(message, retry_after_s=wait_s).report()

    def is_suspect(self, now: float) -> bool:
        """Returns whether an equal request was running when a server crashed."""
        return (
            self.suspects.quarantine_state(self.fingerprint, now)
            is QuarantineState.SUSPECT
        )

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns a backend server outside ``excluded``, or `None` if there is none.

        With ``alone`` all entries of a region choose the same server for equal
        requests; its sidecar runs one suspect at a time.
        """
        query = attrs.evolve(
            self.query,
            excluded=excluded,
            alone=alone,
            prefix=self.fingerprint if alone else self.query.prefix,
            deadline_s=max(0.0, self.deadline_at - now),
        )
        route = self.router.choose(query, now)
        if route is None:
            return None
        return Target(route.instance, self.router.incarnation(route.instance.name))
