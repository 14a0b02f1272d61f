"""Errors with which the engine stand-in rejects requests and commands."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class UnknownEngineModelError(PomeloshiftError):
    """The engine has not loaded the requested model."""

    code = ErrorCode.UNKNOWN_MODEL
    ran = Ran.NO


class EngineStandbyError(PomeloshiftError):
    """The engine's role is standby, in which it runs no requests."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class StreamExistsError(PomeloshiftError):
    """A stream with this id is already running."""

    code = ErrorCode.IDEMPOTENCY_CONFLICT
    ran = Ran.NO


class ResumeMismatchError(PomeloshiftError):
    """The resume token belongs to another request or cannot be read."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


class OldFencingNumberError(PomeloshiftError):
    """The command's fencing token is below one that the engine has seen."""

    code = ErrorCode.FENCED
    ran = Ran.NO
