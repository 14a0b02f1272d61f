"""The error raised for an invalid settings file or questionnaire."""

from collections.abc import Sequence

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._fault import Fault


class SettingsError(PomeloshiftError):
    """A settings file is invalid; ``faults`` holds all of its faults."""

    code = ErrorCode.INVALID_SETTINGS
    ran = Ran.NO

    def __init__(self, faults: Sequence[Fault], file: str = "") -> None:
        self.faults = tuple(faults)
        self.file = file
        super().__init__("\n".join(fault.describe(file) for fault in self.faults))
