"""Histograms of request latencies."""

from collections.abc import Iterable

import attrs
from hdrh.histogram import HdrHistogram

from ._indicator import Indicator

UNITS_PER_S = 10_000
MAX_S = 60
SIGNIFICANT_DIGITS = 2


@attrs.frozen
class EncodedHistogram:
    """A histogram in its stored form; ``data`` is an encoded HDR histogram."""

    service: str
    priority: str
    indicator: Indicator
    data: bytes


class Histograms:
    """HDR histograms of first-token and between-tokens times.

    Times are recorded in units of 0.1 ms and to two significant digits. Times above a
    minute count as a minute.
    """

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str, Indicator], HdrHistogram] = {}

    def record(
        self, service: str, priority: str, indicator: Indicator, seconds: float
    ) -> None:
        """Adds one time, in seconds."""
        value = min(max(1, round(seconds * UNITS_PER_S)), MAX_S * UNITS_PER_S)
        self._histogram((service, priority, indicator)).record_value(value)

    def merge(self, encoded: Iterable[EncodedHistogram]) -> None:
        """Adds the values of encoded histograms."""
        for item in encoded:
            key = (item.service, item.priority, item.indicator)
            self._histogram(key).decode_and_add(item.data)

    def percentile(
        self, service: str, priority: str, indicator: Indicator, percent: float
    ) -> float | None:
        """Returns a percentile in seconds, or `None` if no time was recorded."""
        histogram = self._by_key.get((service, priority, indicator))
        if histogram is None or not histogram.get_total_count():
            return None
        return histogram.get_value_at_percentile(percent) / UNITS_PER_S

    def encode(self) -> tuple[EncodedHistogram, ...]:
        """Returns all histograms in their stored form."""
        return tuple(
            EncodedHistogram(service, priority, indicator, histogram.encode())
            for (service, priority, indicator), histogram in self._by_key.items()
        )

    def _histogram(self, key: tuple[str, str, Indicator]) -> HdrHistogram:
        histogram = self._by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_S * UNITS_PER_S, SIGNIFICANT_DIGITS)
            self._by_key[key] = histogram
        return histogram
