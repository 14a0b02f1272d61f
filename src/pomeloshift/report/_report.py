"""The report on how fast the budgets of objectives are spent."""

import attrs

from ._indicator import Indicator, SpendCause


@attrs.frozen
class WindowBurn:
    """The burn rate in one window; 1 spends the budget exactly in time.

    ``window`` is 5m, 1h, 6h or 3d.
    """

    window: str
    burn: float
    good: int
    bad: int


@attrs.frozen
class CauseShare:
    """How many requests of the longest window missed the objective for a cause."""

    cause: SpendCause
    requests: int


@attrs.frozen
class ObjectiveBurn:
    """One objective of a service, for one workspace or, if that is empty, for all.

    ``target_s`` is in seconds and `None` for being answered at all. ``budget_left``
    is the share of the three-day budget that is left, below 0 if it is overspent.
    Percentiles are in seconds.
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
    """The burn rate in one span; ``start`` is in seconds since the epoch."""

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
    """All objectives of a deployment.

    ``history_s`` is how far back the account reaches; windows longer than that hold
    only this much. ``entries`` names the entries that were asked and
    ``unreachable`` those that did not answer.
    """

    deployment: str
    generated_at: float
    history_s: float
    objectives: tuple[ObjectiveBurn, ...]
    series: tuple[BurnSeries, ...] = ()
    entries: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
