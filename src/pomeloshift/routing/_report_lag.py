"""Works out how late a report arrived."""

import attrs

DRIFT_PER_S = 0.001


@attrs.define
class ReportLag:
    """Compares each report's delay with the shortest one of the same sidecar.

    The clocks of sender and receiver need not agree; the shortest delay is taken
    for none. It is raised slowly, so that drifting clocks do no harm.
    """

    _shortest_s: float | None = None
    _measured_at: float = 0.0

    def measure(self, made_at_s: float, now: float) -> float:
        """Returns how many seconds late a report made at ``made_at_s`` is."""
        if made_at_s == 0.0:
            return 0.0
        delay_s = now - made_at_s
        if self._shortest_s is not None:
            drift_s = (now - self._measured_at) * DRIFT_PER_S
            self._shortest_s = min(delay_s, self._shortest_s + drift_s)
        else:
            self._shortest_s = delay_s
        self._measured_at = now
        return delay_s - self._shortest_s
