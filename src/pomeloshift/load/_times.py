"""A histogram of times."""

import attrs
from hdrh.histogram import HdrHistogram

UNITS_PER_S = 100_000
MAX_S = 600
SIGNIFICANT_DIGITS = 3


@attrs.frozen
class TimeSummary:
    """The number of times, their quantiles and the maximum, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class TimeHistogram:
    """Records times up to ten minutes with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_S * UNITS_PER_S, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Adds a time; one above ten minutes counts as ten minutes."""
        units = max(1, round(seconds * UNITS_PER_S))
        self._histogram.record_value(min(units, MAX_S * UNITS_PER_S))

    def summary(self) -> TimeSummary:
        """Returns the quantiles; all are 0 before the first time."""
        return TimeSummary(
            self._histogram.get_total_count(),
            self._at(50.0),
            self._at(95.0),
            self._at(99.0),
            self._at(100.0),
        )

    def _at(self, percentile: float) -> float:
        return self._histogram.get_value_at_percentile(percentile) / UNITS_PER_S
