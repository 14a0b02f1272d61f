"""Errors of streams that were shed before they were sent to the engine."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class EngineFullError(PomeloshiftError):
    """An online stream would wait too long for a slot at the engine."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class DeadlineExceededError(PomeloshiftError):
    """The deadline of a stream passed before it could be started."""

    code = ErrorCode.DEADLINE_EXCEEDED
    ran = Ran.NO
