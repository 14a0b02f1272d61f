"""Failures of files, jobs and their items."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class InvalidJsonlError(PomeloshiftError):
    """An input file is not a list of batch items; ``line`` counts from 1."""

    code = ErrorCode.INVALID_JSONL
    ran = Ran.NO

    def __init__(self, line: int, problem: str) -> None:
        super().__init__(f"line {line}: {problem}")
        self.line = line


class InvalidJobError(PomeloshiftError):
    """A job's request does not follow the interface."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


class UnknownFileError(PomeloshiftError):
    """There is no such file in the workspace."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class UnknownJobError(PomeloshiftError):
    """There is no such job in the workspace."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class IdempotencyConflictError(PomeloshiftError):
    """The idempotency key was used before with another request."""

    code = ErrorCode.IDEMPOTENCY_CONFLICT
    ran = Ran.NO


class StreamGapError(PomeloshiftError):
    """A record was applied that does not follow the one before it."""

    code = ErrorCode.INTERNAL
