"""The interface to the platform's log service."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..errors import ErrorCode, PomeloshiftError, Ran


class LogUnavailableError(PomeloshiftError):
    """The log service refused an operation or could not be reached.

    The operation certainly had no effect.
    """

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class LogRateLimitedError(PomeloshiftError):
    """The log service's append rate is used up; nothing was appended."""

    code = ErrorCode.LOG_RATE_LIMITED
    ran = Ran.NO


class AppendOutcomeUnknownError(PomeloshiftError):
    """The answer to an append was lost; it may have taken effect."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.UNKNOWN


class LogExpiredError(PomeloshiftError):
    """The offset asked for is older than what the log still keeps.

    ``first_offset`` is the oldest offset that can be read.
    """

    code = ErrorCode.LOG_EXPIRED
    ran = Ran.NO

    def __init__(self, message: str, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


@attrs.frozen
class StoredRecord:
    """One record's bytes with its offset."""

    offset: int
    data: bytes


@attrs.frozen
class LogPage:
    """The answer to a read.

    ``first_offset`` is the oldest offset kept and ``next_offset`` the offset that
    the next append to the stream will get.
    """

    first_offset: int
    next_offset: int
    records: tuple[StoredRecord, ...] = ()


class LogStore(Protocol):
    """Appends to and reads from streams of the log service.

    One append of several payloads takes effect whole or not at all, counts once
    against the append rate, and gives consecutive offsets from the returned one.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends and returns the first offset.

        Raises `LogUnavailableError`, `LogRateLimitedError` or
        `AppendOutcomeUnknownError`.
        """

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns records from ``offset`` on.

        Raises `LogUnavailableError`, or `LogExpiredError` where the offset is older
        than the oldest record kept.
        """
