"""Decides how large appends are and when their outcome is known."""

from ._append_sequence import AppendSequence, AppendState, CallOutcome, Step
from ._call_pace import CallPace, slowest_transfer_s
from ._upload_plan import UploadPlan

__all__ = [
    "AppendSequence",
    "AppendState",
    "CallOutcome",
    "CallPace",
    "Step",
    "UploadPlan",
    "slowest_transfer_s",
]
