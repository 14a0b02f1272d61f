"""The dispatch orders that are compared."""

from collections.abc import Mapping, Sequence

from ...batch import DispatchOrder
from ...batch._job_state import JobState


class ArrivalOrder(DispatchOrder):
    """Serves jobs in the order in which they were submitted."""

    def choose(self, jobs: Sequence[JobState]) -> JobState | None:
        """Returns the oldest job."""
        return min(jobs, key=lambda job: job.created_at, default=None)

    def served(self, job: JobState, tokens: int, shares: Mapping[str, float]) -> None:
        """Does nothing; the order of arrival does not depend on work done."""


JOB_ORDERS: dict[str, type[DispatchOrder]] = {
    "order of arrival": ArrivalOrder,
    "ours": DispatchOrder,
}
