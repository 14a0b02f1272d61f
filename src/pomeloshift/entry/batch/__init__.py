"""Stores files, runs batch jobs and serves their HTTP API at an entry."""

from ._http import FilesAndBatches
from ._service import JobService
from ._settings import BatchSettings

__all__ = ["BatchSettings", "FilesAndBatches", "JobService"]
