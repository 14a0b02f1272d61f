"""Compares routing rules on one trace, in virtual time."""

from ._command import run_command
from ._result import RoutingResult
from ._scenario import SCENARIOS, Scenario
from ._simulation import run_all

__all__ = ["SCENARIOS", "RoutingResult", "Scenario", "run_all", "run_command"]
