"""A backend server as one entry sees it."""

import attrs

from ..model import Instance, InstanceState, LoadReport
from ..wire import SidecarReport
from ._config import RouterConfig
from ._decaying_sum import DecayingSum
from ._own_work import OwnWork
from ._report_lag import ReportLag


@attrs.define
class BackendServer:
    """The latest report of a backend server and this entry's own work there."""

    instance: Instance
    load: LoadReport = LoadReport()
    incarnation: int = 0
    sequence: int = -1
    reported_at: float | None = None
    last_seen_at: float = 0.0
    listed: bool = False
    leaving: bool = False
    engine_alive: bool = True
    suspect_until: float = 0.0
    suspect_s: float = 0.0
    own: OwnWork = attrs.field(factory=OwnWork)
    lag: ReportLag = attrs.field(factory=ReportLag)
    sent: DecayingSum = attrs.field(factory=lambda: DecayingSum(2.0))

    def take_report(self, report: SidecarReport, now: float, lag_s: float) -> bool:
        """Takes a report unless a newer one is known; returns whether it did."""
        if (report.incarnation, report.sequence) <= (self.incarnation, self.sequence):
            return False
        if report.incarnation > self.incarnation:
            self._restart()
        self.instance = report.instance
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.load = report.load
        self.leaving = report.draining or self.leaving
        self.engine_alive = report.engine_alive
        self.last_seen_at = now
        late_s = self.lag.measure(report.load.made_at_s, now)
        self.reported_at = now - late_s
        self.own.drop_until(self.reported_at - lag_s)
        return True

    def take_instance(self, instance: Instance) -> None:
        """Takes an entry of the live list, which may be old."""
        self.instance = instance
        self.listed = True
        if instance.state is InstanceState.LEAVING:
            self.leaving = True

    def suspect(self, now: float, cfg: RouterConfig) -> None:
        """Takes the server out for a while, longer after each failure."""
        if now < self.suspect_until:
            return
        longer = min(self.suspect_s * 2, cfg.max_suspect_s)
        self.suspect_s = max(cfg.suspect_s, longer)
        self.suspect_until = now + self.suspect_s

    def clear(self) -> None:
        """Ends all suspicion."""
        self.suspect_s = 0.0
        self.suspect_until = 0.0

    def is_usable(self, now: float) -> bool:
        """Tells whether new work may go to this server at all."""
        return not self.leaving and self.engine_alive and now >= self.suspect_until

    def is_silent(self, now: float, silent_s: float) -> bool:
        """Tells whether reports have stopped and no answer came either.

        A server that has not reported yet is not silent: it may be new, or its
        reports may not reach this entry at all.
        """
        return self.reported_at is not None and now - self.last_seen_at > silent_s

    def age(self, now: float) -> float:
        """Returns the seconds since the last report was made."""
        return float("inf") if self.reported_at is None else now - self.reported_at

    def other_tokens(self) -> int:
        """Returns the online tokens of other entries in the last report."""
        return max(0, self.load.online_tokens - self.own.reported)

    def online_tokens(self) -> int:
        """Returns the estimated online tokens, this entry's own included."""
        return self.other_tokens() + self.own.running

    def capacity_tokens(self, cfg: RouterConfig) -> int:
        """Returns the capacity in tokens."""
        return self.load.capacity_tokens or cfg.default_capacity_tokens

    def wait_s(self, cfg: RouterConfig) -> float:
        """Estimates how long a new stream waits for room at the engine."""
        excess = self.online_tokens() - self.capacity_tokens(cfg)
        if excess <= 0:
            return 0.0
        itl_s = self.load.itl_s or cfg.default_itl_s
        return excess * itl_s / max(1, self.load.online_streams)

    def _restart(self) -> None:
        self.leaving = False
        self.lag = ReportLag()
        self.clear()
