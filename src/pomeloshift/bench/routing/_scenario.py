"""The conditions under which routing rules are compared."""

import attrs


@attrs.frozen
class Scenario:
    """Times are in seconds, ``load`` is a share of the fleet's prefill capacity.

    Reports are sent every ``report_interval_s``, arrive up to ``report_lag_s`` late
    and are lost with probability ``loss_rate``. ``hot_region_share`` is the share of
    the requests that arrive in the first region. ``slow_servers`` of each region run
    at half speed.
    """

    name: str
    load: float = 0.6
    report_interval_s: float = 0.25
    report_lag_s: float = 0.05
    loss_rate: float = 0.0
    hot_region_share: float = 0.5
    slow_servers: int = 0
    entries_per_zone: int = 1


SCENARIOS = (
    Scenario("fresh reports"),
    Scenario("stale reports", report_interval_s=1.0, report_lag_s=2.0),
    Scenario("half of the reports lost", report_interval_s=1.0, loss_rate=0.5),
    Scenario("no reports", loss_rate=1.0),
    Scenario("load 85%, stale reports", 0.85, 1.0, 2.0),
    Scenario("mixed speeds, stale reports", 0.6, 1.0, 2.0, slow_servers=2),
    Scenario("many entries, stale reports", 0.6, 1.0, 2.0, entries_per_zone=8),
    Scenario("one region overloaded", 0.6, 0.5, 0.5, hot_region_share=0.9),
)
