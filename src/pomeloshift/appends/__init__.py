"""Decides when the outcome of an append is known."""

from ._append_sequence import AppendSequence, AppendState, CallOutcome, Step

__all__ = ["AppendSequence", "AppendState", "CallOutcome", "Step"]
