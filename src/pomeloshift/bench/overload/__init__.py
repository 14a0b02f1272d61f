"""Measures goodput at one to four times the capacity, in virtual time."""

from ._command import run_command
from ._result import OverloadResult, run_all, run_load
from ._variant import NO_LIMITS, ONE_QUEUE, OURS, REFUSALS, VARIANTS, Variant

__all__ = [
    "NO_LIMITS",
    "ONE_QUEUE",
    "OURS",
    "REFUSALS",
    "VARIANTS",
    "OverloadResult",
    "Variant",
    "run_all",
    "run_command",
    "run_load",
]
