"""The result of a request to run or join an attempt."""

from enum import Enum

import attrs

from ..errors import ErrorReport


class OpenedKind(Enum):
    """What happened to the attempt, and so what the sidecar does next."""

    STARTED = "started"
    JOINED = "joined"
    REFUSED = "refused"


@attrs.frozen
class Opened:
    """The result; ``error`` is set exactly when the request is refused."""

    kind: OpenedKind
    error: ErrorReport | None = None
