"""The interface to the platform's log service."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..errors import ErrorCode, PomeloshiftError, Ran


class LogUnavailableError(PomeloshiftError):
    """The log service refused an operation or was unreachable.

    The operation certainly had no effect.
    """

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO


class LogRateLimitedError(PomeloshiftError):
    """The append exceeds the log service's append rate; nothing was appended."""

    code = ErrorCode.LOG_RATE_LIMITED
    ran = Ran.NO


class AppendOutcomeUnknownError(PomeloshiftError):
    """The response to an append was lost; the records may be durable."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.UNKNOWN


class LogExpiredError(PomeloshiftError):
    """The requested offset is older than the log's retention.

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
    """The result of a read.

    ``first_offset`` is the oldest offset in the stream and ``next_offset`` the offset
    that the next append to the stream will get.
    """

    first_offset: int
    next_offset: int
    records: tuple[StoredRecord, ...] = ()


class LogStore(Protocol):
    """Appends to and reads from streams of the log service.

    An append of several payloads is atomic, counts once against the append rate and
    assigns consecutive offsets.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends the payloads and returns the offset of the first.

        Raises `LogUnavailableError`, `LogRateLimitedError` or
        `AppendOutcomeUnknownError`.
        """

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns at most ``limit`` records from ``offset`` on.

        Raises `LogUnavailableError`, or `LogExpiredError` if the offset is older than
        the oldest record.
        """
