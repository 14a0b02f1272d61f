"""Responses to online requests that failed before an engine's response began."""

import attrs

from ..dispatch import CrashKeys, Route
from ..http1 import Exchange
from ..platform import CallerRequest
from ._crash_log import CrashLog
from ._engine_access import EngineAccess
from ._refusal import refuse


@attrs.frozen
class FailureReply:
    """The final response to a request; refusals say when the caller should retry."""

    access: EngineAccess
    crashes: CrashLog
    exchange: Exchange
    req: CallerRequest
    route: Route
    keys: CrashKeys

    def send(
        self, status: int, is_quarantined: bool, is_local: bool, now: float
    ) -> None:
        """Sends a status; ``is_local`` is set if another gateway may serve the request.

        A caller that is refused for overload is expected back after the burst.
        """
        if status != 503:
            refuse(self.exchange, status)
        elif is_quarantined:
            refuse(self.exchange, 503, self.crashes.quarantined_for(self.keys))
        elif is_local:
            refuse(self.exchange, 503, self.access.retry_after.elsewhere())
        else:
            retry_after_s = self.access.retry_after.after_burst(self._time_left_s(now))
            self.access.admission.note_refusal(
                self.route, self.req.deadline_s, now + retry_after_s
            )
            refuse(self.exchange, 503, retry_after_s)

    def _time_left_s(self, now: float) -> float:
        timeout_s = self.req.deadline_s
        if timeout_s is None:
            timeout_s = self.route.timeout_s
        return max(0.0, timeout_s - (now - self.exchange.arrived_at))
