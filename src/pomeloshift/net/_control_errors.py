"""Errors of control messages between processes."""

from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran


class ControlTimeoutError(PomeloshiftError):
    """A message was sent and no valid reply arrived in time.

    The peer may have handled the message.
    """

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class ControlUnreachableError(PomeloshiftError):
    """No connection to the peer was established in time; the message was not sent."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class ControlRefusedError(PomeloshiftError):
    """The peer replied that it could not serve the message.

    ``code``, ``ran`` and ``retry_after_s`` are those of the peer's reply.
    """

    def __init__(self, error: ErrorReport) -> None:
        super().__init__(error.message, retry_after_s=error.retry_after_s)
        self.code = error.code
        self.ran = error.ran


class SignatureError(PomeloshiftError):
    """A control message has a wrong signature or is a replay of an earlier one."""

    code = ErrorCode.UNAUTHENTICATED
    ran = Ran.NO
