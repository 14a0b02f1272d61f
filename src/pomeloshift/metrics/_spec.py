"""The definition of a metric."""

from enum import Enum

import attrs

NAME_PREFIX = "pomeloshift_"


class MetricKind(Enum):
    """The type of a metric, as in Prometheus."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen
class MetricSpec:
    """A metric's name without the common prefix, its kind, help text and labels.

    ``roles`` are the roles whose processes expose it. ``buckets`` are a histogram's
    upper bounds, in the unit that the name ends with.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()
    roles: tuple[str, ...] = ("entry", "sidecar")
    buckets: tuple[float, ...] = ()

    @property
    def full_name(self) -> str:
        """The name under which the metric is exposed."""
        return NAME_PREFIX + self.name
