"""Names the workspace with which a job's items run."""

from ..dispatch import ServingConfig
from ..jobs import Job


def item_workspace(job: Job, config: ServingConfig | None) -> str | None:
    """Returns what the engine is told about a job's workspace, None for nothing.

    The name comes from the job, so that items of a workspace that was removed still run
    with it. Jobs without a workspace pass their headers on only where callers have no
    workspaces.
    """
    if job.workspace or (config is not None and config.has_workspaces):
        return job.workspace
    return None
