"""Errors of HTTP calls."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class ConnectError(PomeloshiftError):
    """No connection could be opened, so nothing was sent."""

    code = ErrorCode.NO_BACKEND_SERVER
    ran = Ran.NO


class ConnectionBrokenError(PomeloshiftError):
    """The connection ended before the complete response had arrived."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class CallTimeoutError(PomeloshiftError):
    """The response did not arrive in time."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class InvalidRequestError(PomeloshiftError):
    """A request has a part that HTTP does not allow, so nothing was sent."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO
