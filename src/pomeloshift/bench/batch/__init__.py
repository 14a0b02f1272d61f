"""Measures batch state: replay, memory, checkpoints and log appends."""

from ._appends import measure_appends
from ._command import run_command
from ._state import measure_state

__all__ = ["measure_appends", "measure_state", "run_command"]
