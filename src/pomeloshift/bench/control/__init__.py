"""Measures the cost of control work and what it comes to at the target size."""

from ._command import run_command

__all__ = ["run_command"]
