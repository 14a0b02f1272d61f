"""The failure of a publication that another one overtook."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class ConfigConflictError(PomeloshiftError):
    """Another configuration was published after the one this change is based on.

    ``current_version`` is the version that a new attempt should be based on.
    """

    code = ErrorCode.CONFIG_CONFLICT
    ran = Ran.NO

    def __init__(self, message: str, current_version: int) -> None:
        super().__init__(message)
        self.current_version = current_version
