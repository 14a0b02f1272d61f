"""Claims of unrepeatable calls, kept in the log."""

from ._claimer import CallClaimer
from ._claims import CallClaimed, CallClaims, ClaimState
from ._errors import (
    CallConflictError,
    CallOutcomeUnknownError,
    ClaimUnsettledError,
)

__all__ = [
    "CallClaimed",
    "CallClaimer",
    "CallClaims",
    "CallConflictError",
    "CallOutcomeUnknownError",
    "ClaimState",
    "ClaimUnsettledError",
]
