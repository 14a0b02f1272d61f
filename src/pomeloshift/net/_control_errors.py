"""Failures of an exchange of control messages."""

from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran


class ControlTimeoutError(PomeloshiftError):
    """A message was handed to the network and no answer came in time.

    The peer may have acted on the message.
    """

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class ControlUnreachableError(PomeloshiftError):
    """No connection to the peer came up in time; the message never left."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class ControlRefusedError(PomeloshiftError):
    """The peer answered that it could not serve the message.

    Code, ``ran`` and ``retry_after_s`` are those that the peer gave.
    """

    def __init__(self, error: ErrorReport) -> None:
        super().__init__(error.message, retry_after_s=error.retry_after_s)
        self.code = error.code
        self.ran = error.ran


class SignatureError(PomeloshiftError):
    """A control message was not made by a holder of the shared key, or is a repeat."""

    code = ErrorCode.UNAUTHENTICATED
    ran = Ran.NO
