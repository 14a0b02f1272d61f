"""Computes the burn report from the counts of all entries."""

from collections.abc import Iterable, Sequence

from ..config import Configuration, ServiceConfig, ServiceKind
from ..model import Priority
from ._counts import BurnCounts, BurnKey
from ._histograms import Histograms
from ._history import BurnHistory
from ._indicator import Indicator, SpendCause
from ._report import (
    BurnPoint,
    BurnReport,
    BurnSeries,
    CauseShare,
    ObjectiveBurn,
    WindowBurn,
)
from ._summary import BurnSummary
from ._timeline import HOUR_S, MINUTE_S, RETENTION_S, Timeline

WINDOWS_S = {"5m": 5 * MINUTE_S, "1h": HOUR_S, "6h": 6 * HOUR_S, "3d": RETENTION_S}
FAST_WINDOWS = ("5m", "1h")
SLOW_WINDOWS = ("6h", "3d")
# Burn rate of the fast alert: it spends the whole three-day budget in twelve hours.
FAST_BURN = 6.0
# Burn rate of the slow alert: a higher one spends the budget within the three days.
SLOW_BURN = 1.0
SERIES_SPAN_S = 15 * MINUTE_S
SERIES_SPANS = 24

Sums = dict[BurnKey, BurnCounts]


def compute_report(
    cfg: Configuration,
    history: BurnHistory,
    pending: Sequence[BurnSummary],
    now: float,
    *,
    entries: Iterable[str] = (),
    unreachable: Iterable[str] = (),
) -> BurnReport:
    """Returns the report on all objectives of a configuration.

    ``pending`` holds the counts that entries have not yet appended to the log;
    ``now`` is in seconds since the epoch.
    """
    timeline = _make_timeline(history, pending)
    histograms = _make_histograms(history, pending, now)
    sums = {
        name: timeline.window(now - length, now + MINUTE_S)
        for name, length in WINDOWS_S.items()
    }
    objectives: list[ObjectiveBurn] = []
    series: list[BurnSeries] = []
    for service in cfg.services:
        for priority in Priority:
            for indicator in _indicators(service, priority):
                objectives += _objectives(
                    service, priority.value, indicator, sums, histograms
                )
                series += _series(service, priority.value, indicator, timeline, now)
    first = timeline.first_start
    return BurnReport(
        cfg.deployment,
        now,
        max(0.0, now - first) if first is not None else 0.0,
        tuple(objectives),
        tuple(series),
        tuple(entries),
        tuple(unreachable),
    )


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Returns the share of bad requests divided by the share that may be bad.

    Without requests the rate is 0. Example: 10 bad requests of 100 at an objective
    of 0.95 give a burn rate of 2.
    """
    total = good + bad
    if not total:
        return 0.0
    return round(bad / total / (1 - objective), 4)


def _indicators(service: ServiceConfig, priority: Priority) -> tuple[Indicator, ...]:
    if priority is Priority.BATCH:
        return (Indicator.ANSWERED,)
    if service.kind is ServiceKind.PLAIN:
        return (Indicator.ANSWERED, Indicator.FIRST_TOKEN)
    return tuple(Indicator)


def _make_timeline(history: BurnHistory, pending: Sequence[BurnSummary]) -> Timeline:
    timeline = Timeline()
    minutes, hours = history.cells()
    for cell in minutes:
        timeline.add(cell)
    for cell in hours:
        timeline.add_hour(cell)
    for summary in pending:
        for cell in summary.cells:
            timeline.add(cell)
    return timeline


def _make_histograms(
    history: BurnHistory, pending: Sequence[BurnSummary], now: float
) -> Histograms:
    histograms = Histograms()
    histograms.merge(history.histograms(now - WINDOWS_S["6h"]))
    for summary in pending:
        histograms.merge(summary.histograms)
    return histograms


def _objectives(
    service: ServiceConfig,
    priority: str,
    indicator: Indicator,
    sums: dict[str, Sums],
    histograms: Histograms,
) -> list[ObjectiveBurn]:
    workspaces = sorted(
        {
            key.workspace
            for key in sums["3d"]
            if (key.service, key.priority) == (service.name, priority)
        }
    )
    if not workspaces:
        return []
    return [
        _objective(service, workspace, priority, indicator, sums, histograms)
        for workspace in ("", *workspaces)
    ]


def _objective(
    service: ServiceConfig,
    workspace: str,
    priority: str,
    indicator: Indicator,
    sums: dict[str, Sums],
    histograms: Histograms,
) -> ObjectiveBurn:
    totals = {
        name: _select(window, service.name, workspace, priority)
        for name, window in sums.items()
    }
    windows = tuple(
        _window(name, counts, indicator, service.objective)
        for name, counts in totals.items()
    )
    by_name = {window.window: window.burn for window in windows}
    missed = totals["3d"].bad_for(indicator)

    def percentile(percent: float) -> float | None:
        if workspace:
            return None
        return histograms.percentile(service.name, priority, indicator, percent)

    return ObjectiveBurn(
        service.name,
        workspace,
        priority,
        indicator,
        service.objective,
        _target(service, indicator),
        round(1 - by_name["3d"], 4),
        windows,
        all(by_name[name] >= FAST_BURN for name in FAST_WINDOWS),
        all(by_name[name] >= SLOW_BURN for name in SLOW_WINDOWS),
        tuple(CauseShare(c, missed[c]) for c in SpendCause if c in missed),
        percentile(50),
        percentile(95),
        percentile(99),
    )


def _window(
    name: str, counts: BurnCounts, indicator: Indicator, objective: float
) -> WindowBurn:
    good = counts.good_for(indicator)
    bad = sum(counts.bad_for(indicator).values())
    return WindowBurn(name, burn_rate(good, bad, objective), good, bad)


def _select(sums: Sums, service: str, workspace: str, priority: str) -> BurnCounts:
    counts = BurnCounts()
    for key, key_counts in sums.items():
        if (key.service, key.priority) == (service, priority):
            if workspace in ("", key.workspace):
                counts.add(key_counts)
    return counts


def _target(service: ServiceConfig, indicator: Indicator) -> float | None:
    if indicator is Indicator.FIRST_TOKEN:
        return service.first_token_target_s
    if indicator is Indicator.BETWEEN_TOKENS:
        return service.between_tokens_target_s
    return None


def _series(
    service: ServiceConfig,
    priority: str,
    indicator: Indicator,
    timeline: Timeline,
    now: float,
) -> list[BurnSeries]:
    end = int(now) - int(now) % SERIES_SPAN_S + SERIES_SPAN_S
    points = []
    for position in range(SERIES_SPANS):
        start = end - (SERIES_SPANS - position) * SERIES_SPAN_S
        sums = timeline.window(start, start + SERIES_SPAN_S - 1)
        counts = _select(sums, service.name, "", priority)
        good = counts.good_for(indicator)
        bad = sum(counts.bad_for(indicator).values())
        burn = burn_rate(good, bad, service.objective)
        points.append(BurnPoint(start, burn, good + bad))
    if not any(point.requests for point in points):
        return []
    return [BurnSeries(service.name, priority, indicator, SERIES_SPAN_S, tuple(points))]
