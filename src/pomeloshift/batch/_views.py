"""Files and jobs as the HTTP interface shows them."""

from typing import Any

import attrs

from ._file_state import FileState
from ._ids import error_file_id, output_file_id
from ._job_state import JobState


@attrs.frozen
class FileView:
    """A file as the files interface shows it."""

    file_id: str
    workspace: str
    filename: str
    purpose: str
    size: int
    created_at: float

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON object of the HTTP response."""
        return {
            "id": self.file_id,
            "object": "file",
            "bytes": self.size,
            "created_at": int(self.created_at),
            "filename": self.filename,
            "purpose": self.purpose,
            "status": "processed",
        }


@attrs.frozen
class JobView:
    """A job as the batches interface shows it."""

    job_id: str
    workspace: str
    status: str
    service: str
    endpoint: str
    input_file_id: str
    completion_window: str
    created_at: float
    deadline_at: float
    items: int
    completed: int
    failed: int
    finished_at: float | None = None
    cancelled_at: float | None = None
    metadata: dict[str, str] = attrs.field(factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON object of the HTTP response."""
        is_over = self.finished_at is not None or self.cancelled_at is not None
        has_output = is_over and self.completed > 0
        has_errors = is_over and self.failed > 0
        return {
            "id": self.job_id,
            "object": "batch",
            "endpoint": self.endpoint,
            "model": self.service,
            "errors": None,
            "input_file_id": self.input_file_id,
            "completion_window": self.completion_window,
            "status": self.status,
            "output_file_id": output_file_id(self.job_id) if has_output else None,
            "error_file_id": error_file_id(self.job_id) if has_errors else None,
            "created_at": int(self.created_at),
            "in_progress_at": int(self.created_at),
            "expires_at": int(self.deadline_at),
            "finalizing_at": _seconds(self.finished_at),
            "completed_at": _seconds(self.finished_at),
            "failed_at": None,
            "expired_at": None,
            "cancelling_at": _seconds(self.cancelled_at),
            "cancelled_at": _seconds(self.cancelled_at),
            "request_counts": {
                "total": self.items,
                "completed": self.completed,
                "failed": self.failed,
            },
            "metadata": self.metadata or None,
        }


def file_view(file: FileState) -> FileView:
    """Returns a file as the files interface shows it."""
    return FileView(
        file.file_id,
        file.workspace,
        file.filename,
        file.purpose,
        file.size,
        file.created_at,
    )


def job_view(job: JobState, is_cancelling: bool = False) -> JobView:
    """Returns a job as the batches interface shows it.

    ``is_cancelling`` states that a cancellation is in effect but not durable yet.
    """
    return JobView(
        job.job_id,
        job.workspace,
        _status(job, is_cancelling),
        job.service,
        job.endpoint,
        job.input_file_id,
        job.completion_window,
        job.created_at,
        job.deadline_at,
        job.items,
        job.completed,
        job.failed,
        job.finished_at,
        job.cancelled_at,
        job.metadata,
    )


def _status(job: JobState, is_cancelling: bool) -> str:
    if job.cancelled_at is not None:
        return "cancelled"
    if job.finished_at is not None:
        return "completed"
    return "cancelling" if is_cancelling else "in_progress"


def _seconds(at: float | None) -> int | None:
    return None if at is None else int(at)
