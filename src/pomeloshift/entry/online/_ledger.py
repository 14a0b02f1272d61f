"""Keeps the entry's counts of its own work in step with a request's attempts."""

import attrs

from ...attempts import OpenAttempt, SuspectTracker
from ...routing import Router


@attrs.define
class Ledger:
    """Counts each attempt of one request exactly once, at its start and its end."""

    router: Router
    suspects: SuspectTracker
    fingerprint: str
    tokens: int
    server: str = ""
    _attempt_id: str = ""

    def opened(self, effect: OpenAttempt) -> None:
        """Notes an order; further connections of the same attempt change nothing."""
        if effect.request.attempt_id == self._attempt_id:
            return
        self.close()
        self._attempt_id = effect.request.attempt_id
        self.server = effect.instance.name
        self.router.started(self.server, self.tokens)
        self.suspects.started(self.fingerprint, self.server)

    def close(self) -> None:
        """Notes that the current attempt has ended."""
        if self.server:
            self.router.finished(self.server, self.tokens)
            self.suspects.ended(self.fingerprint, self.server)
        self.server = ""
