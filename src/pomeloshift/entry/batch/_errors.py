"""Failures of an entry's batch work."""

from ...errors import ErrorCode, ErrorReport, PomeloshiftError, Ran


class PartitionNotReadyError(PomeloshiftError):
    """The partition's stream has not been read to its end yet."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class NotAcceptedError(PomeloshiftError):
    """The log did not take a record; the request had no effect."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class AcceptanceUnknownError(PomeloshiftError):
    """It is not known yet whether the request took effect.

    The same request sent again has no second effect and tells.
    """

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class FileTooLargeError(PomeloshiftError):
    """A file is larger than this interface accepts."""

    code = ErrorCode.BODY_TOO_LARGE
    ran = Ran.NO


class OwnerUnreachableError(PomeloshiftError):
    """The entry that owns a partition did not answer."""

    code = ErrorCode.NOT_READY


class RemoteError(PomeloshiftError):
    """An error that another entry answered."""

    def __init__(self, report: ErrorReport) -> None:
        super().__init__(report.message, retry_after_s=report.retry_after_s)
        self.code = report.code
        self.ran = report.ran
