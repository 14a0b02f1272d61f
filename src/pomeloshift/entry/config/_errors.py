"""Errors raised when a configuration is published."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class ConfigOutcomeUnknownError(PomeloshiftError):
    """The log did not confirm whether a publication was committed.

    ``record_id`` identifies the publication, so that its outcome can be looked up
    with `ConfigState.outcome_of`.
    """

    code = ErrorCode.OUTCOME_UNKNOWN

    def __init__(self, message: str, record_id: str) -> None:
        super().__init__(message)
        self.record_id = record_id


class ConfigNotReadyError(PomeloshiftError):
    """This entry has not yet read which configuration version is in force."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO
