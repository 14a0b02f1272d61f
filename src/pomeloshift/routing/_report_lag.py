"""Estimates how late a report arrived."""

import attrs

MAX_DRIFT_PER_S = 0.001


@attrs.define
class ReportLag:
    """Compares each report's delay with the shortest one of the same sidecar.

    The clocks of sender and receiver may differ, so the shortest delay counts as no
    delay. It is raised by `MAX_DRIFT_PER_S` to tolerate clock drift.
    """

    _min_delay_s: float | None = None
    _measured_at: float = 0.0

    def measure(self, made_at_s: float, now: float) -> float:
        """Returns by how many seconds a report made at ``made_at_s`` is late.

        ``made_at_s`` is on the sender's clock, ``now`` on the receiver's. A report
        with ``made_at_s`` of 0 has no time and counts as not late.
        """
        if made_at_s == 0.0:
            return 0.0
        delay_s = now - made_at_s
        if self._min_delay_s is not None:
            drift_s = (now - self._measured_at) * MAX_DRIFT_PER_S
            self._min_delay_s = min(delay_s, self._min_delay_s + drift_s)
        else:
            self._min_delay_s = delay_s
        self._measured_at = now
        return delay_s - self._min_delay_s
