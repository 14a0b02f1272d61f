"""What the administration API needs from the rest of an entry."""

from collections.abc import Sequence
from typing import Protocol

from ..report import BurnReport, BurnSummary
from ._messages import InstanceView, JobView, QuarantineView


class FleetView(Protocol):
    """The instances and orders to them."""

    def instances(self) -> Sequence[InstanceView]:
        """Returns all instances that this entry knows, itself included."""

    async def drain(self, name: str) -> str:
        """Orders an instance to drain and returns its state.

        Raises a `PomeloshiftError` with the code ``not_found`` for an unknown name.
        """


class JobsView(Protocol):
    """Batch jobs of all workspaces, wherever their partitions are owned."""

    async def list_jobs(self, workspace: str, limit: int) -> Sequence[JobView]:
        """Returns the newest jobs, of one workspace unless it is empty."""

    async def get_job(self, job_id: str) -> JobView:
        """Returns a job; raises a ``not_found`` failure for an unknown id."""

    async def cancel_job(self, job_id: str) -> JobView:
        """Cancels a job and returns it; raises like `get_job`."""


class QuarantinedView(Protocol):
    """Requests that are refused because they crashed backend servers."""

    def quarantined(self) -> Sequence[QuarantineView]:
        """Returns all quarantined requests that this entry knows."""

    async def release(self, fingerprint: str) -> None:
        """Lifts a quarantine; raises a ``not_found`` failure if there is none."""


class BurnView(Protocol):
    """The account of objectives."""

    async def report(self) -> BurnReport:
        """Returns the report over all entries."""

    def pending(self) -> BurnSummary:
        """Returns what this entry counted and has not yet stored."""
