"""Errors raised by an entry's batch service."""

from ...errors import ErrorCode, ErrorReport, PomeloshiftError, Ran


class PartitionNotReadyError(PomeloshiftError):
    """The partition cannot be served: its stream has not been replayed yet."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class NotAcceptedError(PomeloshiftError):
    """A record was not appended to the log, so the request had no effect."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class AcceptanceUnknownError(PomeloshiftError):
    """The log did not confirm whether the request was applied.

    Repeating the same request is safe: it is applied at most once, and its response
    gives the outcome.
    """

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class FileTooLargeError(PomeloshiftError):
    """An uploaded file exceeds ``BatchSettings.max_file_bytes``."""

    code = ErrorCode.BODY_TOO_LARGE
    ran = Ran.NO


class OwnerUnreachableError(PomeloshiftError):
    """The entry that owns a partition did not reply."""

    code = ErrorCode.NOT_READY


class RemoteError(PomeloshiftError):
    """An error that another entry returned in its reply."""

    def __init__(self, report: ErrorReport) -> None:
        super().__init__(report.message, retry_after_s=report.retry_after_s)
        self.code = report.code
        self.ran = report.ran
