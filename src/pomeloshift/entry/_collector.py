"""Updates an entry's gauges before a metrics scrape."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from ..admin import InstanceView, QuarantineView
from ..batch import JobState
from ..metrics import Metrics, collect_process

OPEN, CANCELLED, FINISHED = "open", "cancelled", "finished"
WAITING, COMPLETED, FAILED = "waiting", "completed", "failed"


class EntryCollector:
    """Sets gauges from the state of the entry.

    ``jobs`` returns the jobs of the partitions that are open at this entry.
    """

    def __init__(
        self,
        metrics: Metrics,
        instances: Callable[[], Sequence[InstanceView]],
        quarantined: Callable[[], Sequence[QuarantineView]],
        open_requests: Callable[[], int],
        jobs: Callable[[], Iterable[JobState]],
    ) -> None:
        self._metrics = metrics
        self._instances = instances
        self._quarantined = quarantined
        self._open_requests = open_requests
        self._jobs = jobs
        self._known: set[tuple[str, str]] = set()

    def collect(self) -> None:
        """Sets all gauges to the current state."""
        self._metrics.set("open_requests", self._open_requests())
        self._metrics.set("quarantined_requests", len(self._quarantined()))
        self._collect_instances()
        self._collect_jobs()
        collect_process(self._metrics)

    def _collect_instances(self) -> None:
        counts = Counter((i.role, i.state) for i in self._instances())
        # A gauge stays at its last value until it is set, so states without instances
        # are set to zero.
        self._known |= set(counts)
        for role, state in self._known:
            self._metrics.set("instances", counts[role, state], role=role, state=state)

    def _collect_jobs(self) -> None:
        jobs = dict.fromkeys((OPEN, CANCELLED, FINISHED), 0)
        items = dict.fromkeys((WAITING, COMPLETED, FAILED), 0)
        for job in self._jobs():
            jobs[_state_of(job)] += 1
            items[WAITING] += 0 if job.is_over else job.waiting
            items[COMPLETED] += job.completed
            items[FAILED] += job.failed
        for state, count in jobs.items():
            self._metrics.set("jobs", count, state=state)
        for state, count in items.items():
            self._metrics.set("batch_items", count, state=state)


def _state_of(job: JobState) -> str:
    if job.cancelled_at is not None:
        return CANCELLED
    return FINISHED if job.finished_at is not None else OPEN
