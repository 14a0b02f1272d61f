"""The result of a request to run or join an attempt."""

from enum import Enum

import attrs

from ..errors import ErrorReport


class OpenOutcome(Enum):
    """Whether the attempt was started or joined, or its request was refused."""

    STARTED = "started"
    JOINED = "joined"
    REFUSED = "refused"


@attrs.frozen
class OpenResult:
    """The result; ``error`` is `None` unless the request was refused."""

    kind: OpenOutcome
    error: ErrorReport | None = None
