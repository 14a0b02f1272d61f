"""Measures a small workspace and a small job beside large ones."""

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
