"""Interfaces to the rest of an entry that the administration API depends on."""

from collections.abc import Sequence
from typing import Protocol

from ..report import BurnReport, BurnSummary
from ._messages import InstanceView, JobView, QuarantineView


class FleetProvider(Protocol):
    """Returns the instances of the fleet and sends drain commands to them."""

    def instances(self) -> Sequence[InstanceView]:
        """Returns all instances that this entry knows, itself included."""

    async def drain(self, name: str) -> str:
        """Sends a drain command to an instance and returns its state.

        Raises a `PomeloshiftError` with the code ``not_found`` for an unknown name.
        """


class JobProvider(Protocol):
    """Batch jobs of all workspaces, whichever entries own their partitions."""

    async def list_jobs(self, workspace: str, limit: int) -> Sequence[JobView]:
        """Returns the newest jobs of a workspace, or of all if it is empty."""

    async def get_job(self, job_id: str) -> JobView:
        """Returns a job; raises a ``not_found`` error for an unknown id."""

    async def cancel_job(self, job_id: str) -> JobView:
        """Cancels a job and returns it; raises like `get_job`."""


class QuarantineProvider(Protocol):
    """Requests that are rejected because they crashed backend servers."""

    def quarantined(self) -> Sequence[QuarantineView]:
        """Returns all quarantined requests that this entry knows."""

    async def release(self, fingerprint: str) -> None:
        """Lifts a quarantine; raises a ``not_found`` error if there is none."""


class BurnProvider(Protocol):
    """Reports the burn of the error budgets, from the counts of all entries."""

    async def report(self) -> BurnReport:
        """Returns the burn report over all entries."""

    def pending(self) -> BurnSummary:
        """Returns the counts of this entry that are not yet in the log."""
