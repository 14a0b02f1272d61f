"""What is known of a metric before it has any value."""

from enum import Enum

import attrs

NAME_PREFIX = "pomeloshift_"


class MetricKind(Enum):
    """How a metric's values behave."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen
class MetricSpec:
    """A metric's name without the common prefix, its labels and its meaning.

    ``roles`` names the roles that have it; ``buckets`` are a histogram's upper
    bounds in the unit that the name ends with.
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
