"""Errors of the platform's interfaces."""

import msgspec

from ..errors import ErrorCode, PomeloshiftError, Ran

# What decoders raise for bytes that they cannot read; JSON that is nested too deeply
# exhausts the stack.
UNREADABLE = (msgspec.DecodeError, ValueError, RecursionError)


class StoreRejectedError(PomeloshiftError):
    """The store, or this process's rate limit, rejected a call temporarily.

    The call was not executed.
    """

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class StoreUnreachableError(PomeloshiftError):
    """No connection to the store could be opened; nothing was sent."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class StoreNoResponseError(PomeloshiftError):
    """A call got no response; the store may have executed it or may do so later."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class StoreFullError(PomeloshiftError):
    """The store has no space left."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class SequenceError(PomeloshiftError):
    """The sequence number of an append does not follow its producer's last one.

    ``expected`` is the next sequence number, `None` if the store does not report it.
    """

    code = ErrorCode.FENCED
    ran = Ran.NO

    def __init__(self, message: str, expected: int | None) -> None:
        super().__init__(message)
        self.expected = expected


class HistoryLostError(PomeloshiftError):
    """The requested records have expired; ``first`` is the oldest available offset."""

    code = ErrorCode.LOG_EXPIRED
    ran = Ran.NO

    def __init__(self, first: int) -> None:
        super().__init__(f"the history before offset {first} is gone")
        self.first = first


class MalformedError(PomeloshiftError):
    """Data from the platform does not have the documented format."""

    code = ErrorCode.PROTOCOL_ERROR
    ran = Ran.UNKNOWN
