"""Claims of non-idempotent calls, stored durably in the log."""

from ._claimer import CallClaimer
from ._claims import CallClaimed, CallClaims, ClaimState
from ._errors import (
    CallConflictError,
    CallOutcomeUnknownError,
    ClaimUnconfirmedError,
)

__all__ = [
    "CallClaimed",
    "CallClaimer",
    "CallClaims",
    "CallConflictError",
    "CallOutcomeUnknownError",
    "ClaimState",
    "ClaimUnconfirmedError",
]
