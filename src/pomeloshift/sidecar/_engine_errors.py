"""Errors of calls to an engine."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class EngineRefusedError(PomeloshiftError):
    """The engine refused a call before it ran any of it.

    ``status`` and ``body`` are those of the engine's response. The status is 0 if no
    connection could be made.
    """

    code = ErrorCode.NO_BACKEND_SERVER
    ran = Ran.NO

    def __init__(self, message: str, status: int = 0, body: bytes = b"") -> None:
        super().__init__(message)
        self.status = status
        self.body = body


class EngineLostError(PomeloshiftError):
    """The engine failed or the connection to it was lost during a call."""

    code = ErrorCode.BACKEND_SERVER_LOST

    def __init__(self, message: str, ran: Ran = Ran.UNKNOWN) -> None:
        super().__init__(message)
        self.ran = ran


class EngineFencedError(EngineRefusedError):
    """The engine refused a command because its fencing token is outdated."""

    code = ErrorCode.FENCED
