"""Failures of publishing a configuration."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class ConfigOutcomeUnknownError(PomeloshiftError):
    """The log did not tell whether a publication took effect.

    ``record_id`` names the publication, so that its outcome can be looked up.
    """

    code = ErrorCode.OUTCOME_UNKNOWN

    def __init__(self, message: str, record_id: str) -> None:
        super().__init__(message)
        self.record_id = record_id


class ConfigNotReadyError(PomeloshiftError):
    """This entry cannot yet tell which configuration is in force in the log."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO
