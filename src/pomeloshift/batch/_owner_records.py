"""Builds the records that a partition's owner appends."""

import attrs

from ..errors import ErrorCode, ErrorReport, Ran
from ..log import Record
from ..wire import ItemOutcome
from ._lease import Lease
from ._records import (
    AttemptStarted,
    AttemptWithdrawn,
    ItemCompleted,
    ItemStruck,
    JobCancelled,
)

MAX_RESPONSE_BYTES = 1_048_576
RESPONSE_TOO_LONG = ErrorReport(
    ErrorCode.ITEM_FAILED,
    f"the response is longer than {MAX_RESPONSE_BYTES} bytes",
    Ran.YES,
)
UNKNOWN_OUTCOME = ErrorReport(
    ErrorCode.OUTCOME_UNKNOWN,
    "the item is not idempotent and the outcome of its run is unknown",
    Ran.UNKNOWN,
)


def claim_record(lease: Lease) -> Record:
    """Returns the record that claims the only run of a non-idempotent item."""
    body = AttemptStarted(lease.job_id, lease.index, lease.lease_id, lease.instance)
    return Record(f"{lease.lease_id}/start", body)


def withdrawal_record(job_id: str, index: int, lease_id: str) -> Record:
    """Returns the record that withdraws a claim whose run provably did not begin."""
    return Record(f"{lease_id}/withdraw", AttemptWithdrawn(job_id, index, lease_id))


def crash_record(
    job_id: str, index: int, lease_id: str, is_certain: bool, wall: float
) -> Record:
    """Returns the record of a crash: the item ran when a backend server was lost.

    ``is_certain`` is false if the loss is only inferred from an expired lease.
    """
    word = "lost" if is_certain else "silent"
    body = ItemStruck(job_id, index, lease_id, is_certain, wall)
    return Record(f"{lease_id}/{word}", body)


def completion_record(outcome: ItemOutcome, wall: float) -> Record:
    """Returns the record of an item's result; too long a response fails the item."""
    if len(outcome.body) > MAX_RESPONSE_BYTES:
        outcome = attrs.evolve(outcome, body=b"", error=RESPONSE_TOO_LONG)
    body = ItemCompleted(
        outcome.job_id,
        outcome.index,
        outcome.lease_id,
        outcome.status,
        outcome.body,
        outcome.output_tokens,
        wall,
        outcome.error,
    )
    return Record(f"{outcome.lease_id}/done", body)


def unknown_outcome_record(
    job_id: str, index: int, lease_id: str, wall: float
) -> Record:
    """Returns the record that fails an item whose only run has an unknown outcome."""
    body = ItemCompleted(job_id, index, lease_id, 0, b"", 0, wall, UNKNOWN_OUTCOME)
    return Record(f"{lease_id}/unknown", body)


def cancel_record(job_id: str, wall: float) -> Record:
    """Returns the record that cancels a job."""
    return Record(f"{job_id}/cancel", JobCancelled(job_id, wall))
