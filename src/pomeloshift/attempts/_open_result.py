"""The result of a request to run or join an attempt."""

from enum import Enum

import attrs

from ..errors import ErrorReport


class OpenOutcome(Enum):
    """What happened to the attempt, and so what the sidecar does next."""

    STARTED = "started"
    JOINED = "joined"
    REFUSED = "refused"


@attrs.frozen
class OpenResult:
    """The result; ``error`` is set exactly when the request is refused."""

    kind: OpenOutcome
    error: ErrorReport | None = None
