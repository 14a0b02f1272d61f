"""The error for a use of a metric that the catalogue does not allow."""

from ..errors import ErrorCode, PomeloshiftError


class MetricError(PomeloshiftError):
    """A metric is not in the catalogue for a role, or has another kind or labels."""

    code = ErrorCode.INTERNAL
