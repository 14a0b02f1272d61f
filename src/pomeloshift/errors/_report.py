"""The form in which an error crosses a connection."""

from typing import Any

import attrs

from ._code import ErrorCode
from ._ran import Ran


@attrs.frozen
class ErrorReport:
    """Describes one failure to another process or to a caller.

    ``retry_after_s`` is in seconds and is `None` where a retry would not help.
    ``incident`` names the loss of an engine, alike for all that it ran; callers do
    not see it.
    """

    code: ErrorCode
    message: str
    ran: Ran = Ran.UNKNOWN
    retry_after_s: float | None = None
    incident: str = ""

    def as_json(self) -> dict[str, Any]:
        """Returns the body of the error answer that callers receive."""
        fields: dict[str, Any] = {
            "code": self.code.value,
            "type": self.code.value,
            "message": self.message,
            "ran": self.ran.value,
        }
        if self.retry_after_s is not None:
            fields["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": fields}
