"""Events that the core of an online request handles."""

import attrs

from ..errors import ErrorReport
from ..wire import Frame


@attrs.frozen
class Started:
    """The request was admitted and has to be run."""


@attrs.frozen
class AttemptAccepted:
    """The sidecar acknowledged the attempt on this connection."""

    connection: int


@attrs.frozen
class FrameArrived:
    """A frame was read from this connection."""

    connection: int
    frame: Frame


@attrs.frozen
class AttemptRefused:
    """The sidecar refused the attempt on this connection."""

    connection: int
    error: ErrorReport


@attrs.frozen
class ConnectionLost:
    """The connection failed or ended.

    ``sent`` is false if no byte of the request can have left this process.
    """

    connection: int
    sent: bool = True


@attrs.frozen
class Timer:
    """The timer with this number fired."""

    number: int


@attrs.frozen
class CallerPaused:
    """The caller reads too slowly; no frames are read until `CallerResumed`."""


@attrs.frozen
class CallerResumed:
    """The caller has caught up, so frames are read again."""


@attrs.frozen
class BecameSuspect:
    """A server that ran an equal request crashed; this request still runs."""


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection."""


OnlineEvent = (
    Started
    | AttemptAccepted
    | FrameArrived
    | AttemptRefused
    | ConnectionLost
    | Timer
    | CallerPaused
    | CallerResumed
    | BecameSuspect
    | CallerDisconnected
)
