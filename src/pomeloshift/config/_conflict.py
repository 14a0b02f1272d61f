"""The error of a publication that conflicts with an earlier one."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class ConfigConflictError(PomeloshiftError):
    """Another configuration was published after the one this change is based on.

    ``current_version`` is the version to base the next attempt on.
    """

    code = ErrorCode.CONFIG_CONFLICT
    ran = Ran.NO

    def __init__(self, message: str, current_version: int) -> None:
        super().__init__(message)
        self.current_version = current_version
