"""The administration API's views of an entry: fleet, jobs and quarantine."""

from collections.abc import Awaitable, Callable, Sequence

from ..admin import AdminNotFoundError, InstanceView, QuarantineView
from ..admin import JobView as AdminJobView
from ..attempts import SuspectTracker
from ..batch import JobView
from ..model import Instance, InstanceRole, InstanceState
from ..net import Clock
from ..wire import SidecarReport
from ._fleet_observer import FleetObserver
from .batch import JobService

UNRESPONSIVE_AFTER_S = 3.0


class FleetAdmin:
    """Lists the instances as this entry sees them and requests drains.

    ``drain_entry`` drains an entry, this one or another. A backend server receives
    its drain request in the reply to its next heartbeat.
    """

    def __init__(
        self,
        fleet: FleetObserver,
        own: Callable[[], Instance],
        own_version: Callable[[], int],
        drain_entry: Callable[[Instance], Awaitable[None]],
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._own = own
        self._own_version = own_version
        self._drain_entry = drain_entry
        self._clock = clock

    def instances(self) -> Sequence[InstanceView]:
        """Returns this entry and every instance of the instance list, by name."""
        own = self._own()
        shown = [i for i in self._fleet.instances() if i.name != own.name]
        views = [self._view(instance) for instance in shown]
        views.append(_view(own, own.state.value, self._own_version(), 0.0))
        return sorted(views, key=lambda view: view.name)

    async def drain(self, name: str) -> str:
        """Requests an instance to drain and returns its new state."""
        known = {instance.name: instance for instance in self._fleet.instances()}
        known[self._own().name] = self._own()
        if name not in known:
            raise AdminNotFoundError(f"there is no instance {name!r}")
        if known[name].role is InstanceRole.ENTRY:
            await self._drain_entry(known[name])
        else:
            self._fleet.request_drain(name)
        return "draining"

    def _view(self, instance: Instance) -> InstanceView:
        if instance.role is InstanceRole.ENTRY:
            version = self._fleet.entry_version(instance.name)
            return _view(instance, instance.state.value, version, 0.0)
        report = self._fleet.reports().get(instance.name)
        if report is None:
            return _view(instance, "silent", 0, 0.0)
        age_s = self._clock.monotonic() - self._fleet.last_seen_at(instance.name)
        return _view(
            instance, _state(instance, report, age_s), report.config_version, age_s
        )


def _state(instance: Instance, report: SidecarReport, age_s: float) -> str:
    if age_s > UNRESPONSIVE_AFTER_S:
        return "silent"
    if report.draining:
        return "draining"
    if instance.state is InstanceState.LEAVING:
        return "leaving"
    return "live"


def _view(instance: Instance, state: str, version: int, seen_s: float) -> InstanceView:
    return InstanceView(
        instance.name,
        instance.role.value,
        instance.place.region,
        instance.place.availability_zone,
        instance.address,
        state,
        version,
        round(seen_s, 3),
        instance.service,
    )


class JobsAdmin:
    """Batch jobs of all workspaces and partitions."""

    def __init__(self, jobs: JobService) -> None:
        self._jobs = jobs

    async def list_jobs(self, workspace: str, limit: int) -> Sequence[AdminJobView]:
        """Returns the newest jobs; an empty workspace matches any."""
        jobs, _ = await self._jobs.list_jobs(workspace, limit)
        return [_job_view(job) for job in jobs]

    async def get_job(self, job_id: str) -> AdminJobView:
        """Returns a job of any workspace; raises `UnknownJobError`."""
        return _job_view(await self._jobs.get_job("", job_id))

    async def cancel_job(self, job_id: str) -> AdminJobView:
        """Cancels a job of any workspace and returns it."""
        return _job_view(await self._jobs.cancel_job("", job_id))


def _job_view(job: JobView) -> AdminJobView:
    return AdminJobView(
        job.job_id,
        job.workspace,
        job.status,
        job.items,
        job.completed,
        job.failed,
        job.created_at,
        job.deadline_at,
        job.service,
    )


class QuarantineAdmin:
    """The requests that this entry rejects because they crashed backend servers."""

    def __init__(self, suspects: SuspectTracker, clock: Clock) -> None:
        self._suspects = suspects
        self._clock = clock

    def quarantined(self) -> Sequence[QuarantineView]:
        """Returns the quarantined requests known to this entry."""
        now = self._clock.monotonic()
        return [
            QuarantineView(
                record.fingerprint,
                "",
                record.count,
                round(self._suspects.quarantined_for(record.fingerprint, now), 1),
            )
            for record in self._suspects.quarantined(now)
        ]

    async def release(self, fingerprint: str) -> None:
        """Lifts a quarantine; raises `AdminNotFoundError` if there is none."""
        now = self._clock.monotonic()
        if not self._suspects.quarantined_for(fingerprint, now):
            raise AdminNotFoundError(f"{fingerprint!r} is not quarantined")
        self._suspects.finished(fingerprint, now)
