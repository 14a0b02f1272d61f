"""The failure of using a metric in a way that the catalogue does not allow."""

from ..errors import ErrorCode, PomeloshiftError


class MetricError(PomeloshiftError):
    """A metric is not in the catalogue, or its kind or labels are others."""

    code = ErrorCode.INTERNAL
