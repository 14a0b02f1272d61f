"""Effects that the core of an online request returns."""

from enum import Enum

import attrs

from ..errors import ErrorReport
from ..model import Instance
from ..wire import AttemptRequest


@attrs.frozen
class OpenAttempt:
    """Send the request to the sidecar of ``instance`` over a new connection."""

    connection: int
    instance: Instance
    request: AttemptRequest


@attrs.frozen
class CloseConnection:
    """Close a connection; its later events are ignored."""

    connection: int


@attrs.frozen
class AbandonAttempt:
    """Notify the sidecar that the attempt's response is no longer needed."""

    instance: Instance
    attempt_id: str


@attrs.frozen
class Deliver:
    """Pass a chunk of the response to the caller."""

    payload: bytes
    status: int = 200
    content_type: str = ""
    tokens: int = 0


@attrs.frozen
class SetTimer:
    """Fire `Timer` with this number at ``at``; replaces the earlier timer."""

    number: int
    at: float


@attrs.frozen
class Complete:
    """The complete response was delivered."""


@attrs.frozen
class Fail:
    """The request ends with an error.

    ``delivered`` is true if part of the response was delivered before.
    """

    error: ErrorReport
    delivered: bool = False


class ServerFault(Enum):
    """How a backend server failed.

    ``CRASHED`` covers every loss of a server that may have been running the attempt.
    """

    UNREACHABLE = "unreachable"
    CRASHED = "crashed"
    LEAVING = "leaving"


@attrs.frozen
class ServerFailed:
    """A backend server failed during an attempt or is leaving.

    ``incident`` is the sidecar's name of a crash; empty if the sidecar gave none.
    """

    instance: Instance
    fault: ServerFault
    incident: str = ""


OnlineEffect = (
    OpenAttempt
    | CloseConnection
    | AbandonAttempt
    | Deliver
    | SetTimer
    | Complete
    | Fail
    | ServerFailed
)
