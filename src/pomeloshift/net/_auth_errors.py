"""The error for requests without a valid key."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class UnauthenticatedError(PomeloshiftError):
    """The request carries no valid key."""

    code = ErrorCode.UNAUTHENTICATED
    ran = Ran.NO
