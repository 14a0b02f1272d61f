"""Files and batch jobs at an entry."""

from ._http import FilesAndBatches
from ._service import JobService
from ._settings import BatchSettings

__all__ = ["BatchSettings", "FilesAndBatches", "JobService"]
