"""The form in which an error is sent to another process or to a caller."""

from typing import Any

import attrs

from ._code import ErrorCode
from ._ran import Ran


@attrs.frozen
class ErrorReport:
    """Describes one error to another process or to a caller.

    ``retry_after_s`` is the delay in seconds after which a retry may succeed, `None`
    where the delay is unknown or a retry would not help. ``incident`` identifies the
    loss of an engine and is the same for everything that the engine ran at that time;
    callers do not see it.
    """

    code: ErrorCode
    message: str
    ran: Ran = Ran.UNKNOWN
    retry_after_s: float | None = None
    incident: str = ""

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON body of the error response that callers receive."""
        fields: dict[str, Any] = {
            "code": self.code.value,
            "type": self.code.value,
            "message": self.message,
            "ran": self.ran.value,
        }
        if self.retry_after_s is not None:
            fields["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": fields}
