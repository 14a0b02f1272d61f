"""Batch jobs, their items, and the state that is replayed from the log."""

from ._chooser import ChoiceRules
from ._decisions import PullDecision
from ._dispatch import DispatchOrder
from ._errors import (
    IdempotencyConflictError,
    InvalidJobError,
    InvalidJsonlError,
    StreamGapError,
    UnknownFileError,
    UnknownJobError,
)
from ._file_state import FileState
from ._ids import (
    error_file_id,
    file_id_for,
    job_id_for,
    job_of_result_file,
    output_file_id,
    partition_of_file,
    partition_of_job,
    partition_stream,
    request_digest,
)
from ._job_state import Attempt, ItemStatus, JobState
from ._jsonl import (
    InputChecker,
    ParsedItem,
    cut_at_lines,
    item_lines,
    parse_item,
)
from ._lease import Lease, LeaseName, LeasePhase, parse_lease_id
from ._outcomes import OutcomeKind, outcome_kind
from ._owner import PartitionOwner, pull_all
from ._owner_settings import OwnerSettings
from ._ownership import owner_of
from ._records import (
    AttemptStarted,
    AttemptWithdrawn,
    Carried,
    FileChunkStored,
    FileCreated,
    FileDeleted,
    ItemCompleted,
    ItemStruck,
    JobCancelled,
    JobChunkStored,
    JobCreated,
    JobExpired,
    job_codec,
)
from ._replay import PartitionReplay
from ._result_lines import Result, result_line
from ._retention import (
    CopyForward,
    Retention,
    expiry_records,
    is_checkpoint_due,
    records_to_copy,
)
from ._snapshot import restore_state, snapshot_state
from ._state import PartitionState
from ._views import FileView, JobView, file_view, job_view
from ._window import window_seconds

__all__ = [
    "Attempt",
    "AttemptStarted",
    "AttemptWithdrawn",
    "Carried",
    "ChoiceRules",
    "CopyForward",
    "DispatchOrder",
    "FileChunkStored",
    "FileCreated",
    "FileDeleted",
    "FileState",
    "FileView",
    "IdempotencyConflictError",
    "InputChecker",
    "InvalidJobError",
    "InvalidJsonlError",
    "ItemCompleted",
    "ItemStatus",
    "ItemStruck",
    "JobCancelled",
    "JobChunkStored",
    "JobCreated",
    "JobExpired",
    "JobState",
    "JobView",
    "Lease",
    "LeaseName",
    "LeasePhase",
    "OutcomeKind",
    "OwnerSettings",
    "ParsedItem",
    "PartitionOwner",
    "PartitionReplay",
    "PartitionState",
    "PullDecision",
    "Result",
    "Retention",
    "StreamGapError",
    "UnknownFileError",
    "UnknownJobError",
    "cut_at_lines",
    "error_file_id",
    "expiry_records",
    "file_id_for",
    "file_view",
    "is_checkpoint_due",
    "item_lines",
    "job_codec",
    "job_id_for",
    "job_of_result_file",
    "job_view",
    "outcome_kind",
    "output_file_id",
    "owner_of",
    "parse_item",
    "parse_lease_id",
    "partition_of_file",
    "partition_of_job",
    "partition_stream",
    "pull_all",
    "records_to_copy",
    "request_digest",
    "restore_state",
    "result_line",
    "snapshot_state",
    "window_seconds",
]
