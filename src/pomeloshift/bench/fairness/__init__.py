"""Measures the impact of large workspaces and jobs on small ones."""

from ._command import run_command
from ._jobs import JobResult, run_jobs
from ._workspaces import WorkspaceResult, run_flood, run_workspaces

__all__ = [
    "JobResult",
    "WorkspaceResult",
    "run_command",
    "run_flood",
    "run_jobs",
    "run_workspaces",
]
