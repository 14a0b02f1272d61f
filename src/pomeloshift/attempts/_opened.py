"""The result of a request to run or join an attempt."""

from enum import Enum

import attrs

from ..errors import ErrorReport


class OpenedKind(Enum):
    """Whether the attempt was started or joined, or its request was refused."""

    STARTED = "started"
    JOINED = "joined"
    REFUSED = "refused"


@attrs.frozen
class Opened:
    """The result; ``error`` is `None` unless the request was refused."""

    kind: OpenedKind
    error: ErrorReport | None = None
