"""An open-loop load generator for a running deployment."""

from ._command import run_command
from ._plan import PlannedRequest, make_plan
from ._result import LoadResult

__all__ = ["LoadResult", "PlannedRequest", "make_plan", "run_command"]
