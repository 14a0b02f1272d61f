"""Reads and writes the record streams of the platform's append-only log."""

from ._checkpoint import (
    Checkpoint,
    CheckpointAssembler,
    CheckpointEnd,
    CheckpointPart,
    checkpoint_records,
)
from ._codec import RecordCodec, RecordError
from ._commit_limits import CommitLimits
from ._commit_messages import (
    CommitEffect,
    RecordCommitted,
    RecordRefused,
    RecordUnknown,
    StartAppend,
)
from ._committer import CommitBufferFullError, GroupCommitter
from ._follower import StreamFollower
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
    "Checkpoint",
    "CheckpointAssembler",
    "CheckpointEnd",
    "CheckpointPart",
    "CommitBufferFullError",
    "CommitEffect",
    "CommitLimits",
    "GroupCommitter",
    "LogExpiredError",
    "LogPage",
    "LogRateLimitedError",
    "LogStore",
    "LogUnavailableError",
    "Record",
    "RecordCodec",
    "RecordCommitted",
    "RecordError",
    "RecordRefused",
    "RecordUnknown",
    "StartAppend",
    "StoredRecord",
    "StreamFollower",
    "checkpoint_records",
]
