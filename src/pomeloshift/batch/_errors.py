"""Errors of files, jobs and their items."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class InvalidJsonlError(PomeloshiftError):
    """An input file does not hold valid batch items; ``line`` counts from 1."""

    code = ErrorCode.INVALID_JSONL
    ran = Ran.NO

    def __init__(self, line: int, problem: str) -> None:
        super().__init__(f"line {line}: {problem}")
        self.line = line


class InvalidJobError(PomeloshiftError):
    """A request to create a job is invalid."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


class UnknownFileError(PomeloshiftError):
    """The workspace has no such file."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class UnknownJobError(PomeloshiftError):
    """The workspace has no such job."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class IdempotencyConflictError(PomeloshiftError):
    """The idempotency key was used before with a different request."""

    code = ErrorCode.IDEMPOTENCY_CONFLICT
    ran = Ran.NO


class StreamGapError(PomeloshiftError):
    """The offset of a record does not directly follow the last applied one."""

    code = ErrorCode.INTERNAL
