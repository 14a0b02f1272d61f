"""Effects that the core of an online request orders."""

from enum import Enum

import attrs

from ..errors import ErrorReport
from ..model import Instance
from ..wire import AttemptRequest


@attrs.frozen
class OpenAttempt:
    """Send the order to the sidecar of ``instance`` over a new exchange."""

    connection: int
    instance: Instance
    request: AttemptRequest


@attrs.frozen
class CloseConnection:
    """Close a connection; its later events are ignored."""

    connection: int


@attrs.frozen
class AbandonAttempt:
    """Tell the sidecar that nobody waits for the attempt."""

    instance: Instance
    attempt_id: str


@attrs.frozen
class Deliver:
    """Pass a piece of the answer to the caller."""

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
    """The caller has its whole answer."""


@attrs.frozen
class Fail:
    """The request ends with an error; ``delivered`` if part of the answer is out."""

    error: ErrorReport
    delivered: bool = False


class ServerFault(Enum):
    """What went wrong at a backend server.

    ``CRASHED`` covers every loss of a server that may have been running the attempt.
    """

    UNREACHABLE = "unreachable"
    CRASHED = "crashed"
    LEAVING = "leaving"


@attrs.frozen
class ServerFailed:
    """A backend server did not do its part of an attempt.

    ``incident`` is the sidecar's name of a crash, empty if it could not tell one.
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
