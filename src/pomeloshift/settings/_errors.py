"""The failure to load a file that an operator wrote."""

from collections.abc import Sequence

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._fault import Fault


class SettingsError(PomeloshiftError):
    """A settings file has faults; ``faults`` holds all of them."""

    code = ErrorCode.INVALID_SETTINGS
    ran = Ran.NO

    def __init__(self, faults: Sequence[Fault], file: str = "") -> None:
        self.faults = tuple(faults)
        self.file = file
        super().__init__("\n".join(fault.describe(file) for fault in self.faults))
