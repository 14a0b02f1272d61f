"""The metrics that processes expose, and their catalogue."""

from ._catalogue import CATALOGUE
from ._errors import MetricError
from ._metrics import Metrics
from ._process import collect_process
from ._spec import NAME_PREFIX, MetricKind, MetricSpec

__all__ = [
    "CATALOGUE",
    "NAME_PREFIX",
    "MetricError",
    "MetricKind",
    "MetricSpec",
    "Metrics",
    "collect_process",
]
