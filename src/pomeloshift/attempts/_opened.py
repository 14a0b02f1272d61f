"""What a registry answers to an order to run an attempt."""

from enum import Enum

import attrs

from ..errors import ErrorReport


class OpenedKind(Enum):
    """What the sidecar has to do next."""

    STARTED = "started"
    JOINED = "joined"
    REFUSED = "refused"


@attrs.frozen
class Opened:
    """The answer; ``error`` is set exactly where the order is refused."""

    kind: OpenedKind
    error: ErrorReport | None = None
