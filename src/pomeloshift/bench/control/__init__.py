"""Measures the cost of control work and scales it to the target size."""

from ._command import run_command

__all__ = ["run_command"]
