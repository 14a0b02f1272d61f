"""The state of one backend server as an entry estimates it."""

import attrs

from ..model import Instance, InstanceState, LoadReport
from ..wire import SidecarReport
from ._config import RouterConfig
from ._decaying_sum import DecayingSum
from ._own_tokens import OwnTokens
from ._report_lag import ReportLag


@attrs.define
class BackendServer:
    """The latest report of a backend server and this entry's own tokens there.

    Times are monotonic seconds of the entry. ``reported_at`` estimates when the latest
    report was made; it is None before the first. ``last_seen_at`` is when a report or
    a response last arrived. ``avoided_until`` and ``backoff_s`` are set when a
    connection fails. ``recently_sent`` are the tokens that this entry sent there,
    decaying with time.
    """

    instance: Instance
    load: LoadReport = LoadReport()
    incarnation: int = 0
    sequence: int = -1
    reported_at: float | None = None
    last_seen_at: float = 0.0
    is_listed: bool = False
    is_leaving: bool = False
    is_engine_alive: bool = True
    avoided_until: float = 0.0
    backoff_s: float = 0.0
    own: OwnTokens = attrs.field(factory=OwnTokens)
    lag: ReportLag = attrs.field(factory=ReportLag)
    recently_sent: DecayingSum = attrs.field(factory=lambda: DecayingSum(2.0))

    def take_report(self, report: SidecarReport, now: float, lag_s: float) -> bool:
        """Applies a report unless it is outdated; returns whether it did.

        Reports are ordered by incarnation and sequence. ``lag_s`` is the shortest
        delay of a report in seconds, which `ReportLag` counts as none. The report
        includes this entry's changes up to ``lag_s`` before ``reported_at``.
        """
        if (report.incarnation, report.sequence) <= (self.incarnation, self.sequence):
            return False
        if report.incarnation > self.incarnation:
            self._restart()
        self.instance = report.instance
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.load = report.load
        self.is_leaving = report.draining or self.is_leaving
        self.is_engine_alive = report.engine_alive
        self.last_seen_at = now
        late_s = self.lag.measure(report.load.made_at_s, now)
        self.reported_at = now - late_s
        self.own.drop_reported(self.reported_at - lag_s)
        return True

    def take_instance(self, instance: Instance) -> None:
        """Applies an instance of the instance list, which may be out of date."""
        self.instance = instance
        self.is_listed = True
        if instance.state is InstanceState.LEAVING:
            self.is_leaving = True

    def avoid(self, now: float, cfg: RouterConfig) -> None:
        """Avoids the server after a failure, with exponential backoff.

        Further failures while it is avoided do not extend the time.
        """
        if now < self.avoided_until:
            return
        longer = min(self.backoff_s * 2, cfg.max_backoff_s)
        self.backoff_s = max(cfg.min_backoff_s, longer)
        self.avoided_until = now + self.backoff_s

    def stop_avoiding(self) -> None:
        """Ends the avoidance and resets the backoff."""
        self.backoff_s = 0.0
        self.avoided_until = 0.0

    def is_usable(self, now: float) -> bool:
        """Returns whether new requests may be sent to this server at all."""
        return (
            not self.is_leaving and self.is_engine_alive and now >= self.avoided_until
        )

    def is_unresponsive(self, now: float, after_s: float) -> bool:
        """Returns whether neither a report nor a response came for ``after_s``.

        A server counts as responsive until its first report: it may be new, or its
        reports may not reach this entry at all.
        """
        return self.reported_at is not None and now - self.last_seen_at > after_s

    def age(self, now: float) -> float:
        """Returns the seconds since the last report was made, infinity before any."""
        return float("inf") if self.reported_at is None else now - self.reported_at

    def other_tokens(self) -> int:
        """Returns the online tokens of other entries by the last report."""
        return max(0, self.load.online_tokens - self.own.reported)

    def online_tokens(self) -> int:
        """Returns the estimated online tokens, this entry's own included."""
        return self.other_tokens() + self.own.running

    def capacity_tokens(self, cfg: RouterConfig) -> int:
        """Returns the capacity in tokens, the default if none was reported."""
        return self.load.capacity_tokens or cfg.default_capacity_tokens

    def wait_s(self, cfg: RouterConfig) -> float:
        """Estimates the seconds that a new stream waits for capacity at the engine."""
        excess = self.online_tokens() - self.capacity_tokens(cfg)
        if excess <= 0:
            return 0.0
        itl_s = self.load.itl_s or cfg.default_itl_s
        return excess * itl_s / max(1, self.load.online_streams)

    def _restart(self) -> None:
        self.is_leaving = False
        self.lag = ReportLag()
        self.stop_avoiding()
