"""Validation errors, called faults, of settings files and questionnaires."""

from enum import Enum

import attrs


class FaultCode(Enum):
    """The kind of a fault; codes are never reused or renamed."""

    UNREADABLE_FILE = "unreadable_file"
    NOT_JSON = "not_json"
    UNKNOWN_KEY = "unknown_key"
    MISSING_KEY = "missing_key"
    WRONG_TYPE = "wrong_type"
    OUT_OF_RANGE = "out_of_range"
    DUPLICATE = "duplicate"
    UNKNOWN_REFERENCE = "unknown_reference"
    INCONSISTENT = "inconsistent"


@attrs.frozen
class Fault:
    """One validation error: where it is, what is wrong and how to correct it.

    ``path`` names the key, as in ``engines[0].url``; it is empty for the whole file.
    ``line`` counts from 1 and is 0 if it is not known.
    """

    path: str
    code: FaultCode
    message: str
    remedy: str = ""
    line: int = 0

    def describe(self, file: str = "") -> str:
        """Returns one line of text, such as ``a.jsonc:3: port: is missing [...]``.

        ``file`` is the name that the line begins with; the code of the fault ends it.
        """
        place = ":".join(part for part in (file, str(self.line or "")) if part)
        prefix = f"{place}: " if place else ""
        key = f"{self.path}: " if self.path else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{prefix}{key}{self.message}{remedy} [{self.code.value}]"
