"""Faults found in a file that an operator wrote."""

from enum import Enum

import attrs


class FaultCode(Enum):
    """Names the kind of a fault; codes are never reused or renamed."""

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
    """One fault: where it is, what is wrong and what to do about it.

    ``path`` names the key, as in ``engines[0].url``; it is empty for the whole file.
    ``line`` counts from 1 and is 0 where it is not known.
    """

    path: str
    code: FaultCode
    message: str
    remedy: str = ""
    line: int = 0

    def describe(self, file: str = "") -> str:
        """Returns one line of text for a person.

        Fault("port", FaultCode.WRONG_TYPE, "is not a number").describe("a.jsonc")
        """
        place = ":".join(part for part in (file, str(self.line or "")) if part)
        prefix = f"{place}: " if place else ""
        key = f"{self.path}: " if self.path else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{prefix}{key}{self.message}{remedy} [{self.code.value}]"
