"""Counts a request's attempts for the router and the suspect tracker."""

import attrs

from ...attempts import OpenAttempt, SuspectTracker
from ...routing import Router


@attrs.define
class AttemptCounter:
    """Records the start and the end of each attempt of one request exactly once.

    ``server`` is the backend server of the running attempt, empty if there is none.
    """

    router: Router
    suspects: SuspectTracker
    fingerprint: str
    tokens: int
    server: str = ""
    _attempt_id: str = ""

    def record_start(self, effect: OpenAttempt) -> None:
        """Records the start of an attempt; later connections of it do not count."""
        if effect.request.attempt_id == self._attempt_id:
            return
        self.record_end()
        self._attempt_id = effect.request.attempt_id
        self.server = effect.instance.name
        self.router.started(self.server, self.tokens)
        self.suspects.started(self.fingerprint, self.server)

    def record_end(self) -> None:
        """Records the end of the running attempt, if there is one."""
        if self.server:
            self.router.finished(self.server, self.tokens)
            self.suspects.ended(self.fingerprint, self.server)
        self.server = ""
