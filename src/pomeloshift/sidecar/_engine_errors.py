"""Failures of calls to an engine."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class EngineRefusedError(PomeloshiftError):
    """The engine refused a call before it ran any of it.

    ``status`` and ``body`` are the engine's own answer; the status is 0 where no
    connection could be made.
    """

    code = ErrorCode.NO_BACKEND_SERVER
    ran = Ran.NO

    def __init__(self, message: str, status: int = 0, body: bytes = b"") -> None:
        super().__init__(message)
        self.status = status
        self.body = body


class EngineLostError(PomeloshiftError):
    """The engine or the connection to it was lost during a call."""

    code = ErrorCode.BACKEND_SERVER_LOST

    def __init__(self, message: str, ran: Ran = Ran.UNKNOWN) -> None:
        super().__init__(message)
        self.ran = ran


class EngineFencedError(EngineRefusedError):
    """The engine refused an order because its fencing number is old."""

    code = ErrorCode.FENCED
