"""Records and streams of the platform's append-only log."""

from ._codec import RecordCodec, RecordError
from ._record import Record
from ._store import (
    AppendOutcomeUnknownError,
    LogExpiredError,
    LogPage,
    LogRateLimitedError,
    LogStore,
    LogUnavailableError,
    StoredRecord,
)

__all__ = [
    "AppendOutcomeUnknownError",
    "LogExpiredError",
    "LogPage",
    "LogRateLimitedError",
    "LogStore",
    "LogUnavailableError",
    "Record",
    "RecordCodec",
    "RecordError",
    "StoredRecord",
]
