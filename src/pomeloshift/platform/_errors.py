"""Failures of the platform's interfaces."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class StoreRefusedError(PomeloshiftError):
    """The store refused a call for the moment; nothing was done."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class StoreUnreachableError(PomeloshiftError):
    """The store could not be reached; nothing was sent."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class StoreSilentError(PomeloshiftError):
    """A call got no answer; the store may carry it out, also later."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class StoreFullError(PomeloshiftError):
    """The store holds as much as it may."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class SequenceError(PomeloshiftError):
    """An append does not follow its producer's last one.

    ``expected`` is the number that would, if the store tells it.
    """

    code = ErrorCode.FENCED
    ran = Ran.NO

    def __init__(self, message: str, expected: int | None) -> None:
        super().__init__(message)
        self.expected = expected


class HistoryLostError(PomeloshiftError):
    """The records asked for are no longer kept; ``first`` is the oldest one kept."""

    code = ErrorCode.LOG_EXPIRED
    ran = Ran.NO

    def __init__(self, first: int) -> None:
        super().__init__(f"the history before offset {first} is gone")
        self.first = first


class MalformedError(PomeloshiftError):
    """Data from the platform does not have the documented form."""

    code = ErrorCode.PROTOCOL_ERROR
    ran = Ran.UNKNOWN
