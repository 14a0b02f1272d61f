"""The report on how fast the error budgets of SLOs are spent."""

import attrs

from ._indicator import Indicator, SpendCause


@attrs.frozen
class WindowBurn:
    """The burn rate in one window; at 1 the budget lasts exactly three days.

    ``window`` is 5m, 1h, 6h or 3d. ``good`` and ``bad`` are numbers of requests that
    met and missed the objective.
    """

    window: str
    burn: float
    good: int
    bad: int


@attrs.frozen
class CauseShare:
    """The number of requests that missed the objective for a cause in three days."""

    cause: SpendCause
    requests: int


@attrs.frozen
class ObjectiveBurn:
    """One objective of a service, for one workspace or for all of them.

    ``workspace`` is empty for the sum over all workspaces. ``target_s`` is `None` for
    the indicator ``ANSWERED``, which has no time. ``budget_left`` is the share of the
    three-day budget that is left, below 0 if it is overspent. Percentiles are in
    seconds, and `None` for single workspaces and where no time was recorded.
    """

    service: str
    workspace: str
    priority: str
    indicator: Indicator
    objective: float
    target_s: float | None
    budget_left: float
    windows: tuple[WindowBurn, ...]
    fast_alert: bool
    slow_alert: bool
    spent: tuple[CauseShare, ...]
    p50_s: float | None = None
    p95_s: float | None = None
    p99_s: float | None = None


@attrs.frozen
class BurnPoint:
    """The burn rate in one span of time; ``start`` is in seconds since the epoch."""

    start: int
    burn: float
    requests: int


@attrs.frozen
class BurnSeries:
    """The burn rate of one objective of a service over time."""

    service: str
    priority: str
    indicator: Indicator
    span_s: int
    points: tuple[BurnPoint, ...]


@attrs.frozen
class BurnReport:
    """The burn rates of all objectives of a deployment.

    ``history_s`` is the age of the oldest counts; a longer window covers only this
    time. ``entries`` names the entries whose counts are included and ``unreachable``
    those that did not respond.
    """

    deployment: str
    generated_at: float
    history_s: float
    objectives: tuple[ObjectiveBurn, ...]
    series: tuple[BurnSeries, ...] = ()
    entries: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
