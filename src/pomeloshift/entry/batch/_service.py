"""The batch service of an entry: files and jobs of all partitions."""

from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from random import Random
from typing import Any

import attrs
from loguru import logger

from ...batch import (
    FileView,
    JobView,
    file_id_for,
    job_id_for,
    owner_of,
    parse_lease_id,
    partition_of_file,
    partition_of_job,
    request_digest,
    window_seconds,
)
from ...config import Configuration
from ...errors import ErrorCode, ErrorReport, PomeloshiftError
from ...log import LogStore
from ...model import Instance, InstanceState
from ...net import Clock
from ...net._periodic_tasks import PeriodicTasks, spawn
from ...wire import (
    Acknowledgement,
    ItemGrants,
    ItemOutcome,
    ItemPull,
    ItemResults,
    LeaseRelease,
)
from . import _calls as calls
from ._call_window import CallWindow
from ._errors import FileTooLargeError, OwnerUnreachableError
from ._item_server import ItemServer
from ._maintenance import Maintenance
from ._partition_runner import PartitionRunner
from ._partition_service import PartitionService
from ._peer_api import PeerApi
from ._peer_client import PeerClient, Peers
from ._record_cache import RecordCache
from ._settings import BatchSettings
from ._upload import checked_chunks

TICK_INTERVAL_S = 0.5
MAX_CONCURRENT_CHUNKS = 8
LOOK_UPS = (calls.GetFile, calls.GetJob, calls.ListFiles, calls.ListJobs)


class JobService:
    """Serves files and jobs to callers, and their items to sidecars.

    Rendezvous hashing assigns each partition to a live entry, its owner. Calls for the
    partitions of other owners are forwarded, or served here if the owner is
    unreachable. Two entries may serve the same partition at once; work may then be
    repeated, but none is lost. ``peers`` replaces the HTTP client for calls to other
    entries.
    """

    def __init__(
        self,
        name: str,
        log: LogStore,
        clock: Clock,
        reactor: Any,
        rng: Random,
        entries: Callable[[], Sequence[Instance]],
        current_config: Callable[[], Configuration | None],
        partitions: int,
        internal_key: str,
        settings: BatchSettings = BatchSettings(),
        peers: Peers | None = None,
    ) -> None:
        self.name = name
        self.partitions = partitions
        self._log = log
        self._clock = clock
        self._reactor = reactor
        self._rng = rng
        self._entries = entries
        self._current_config = current_config
        self._settings = attrs.evolve(
            settings, commit=settings.commit_limits(partitions)
        )
        self._cache = RecordCache(settings.cache_bytes)
        self._items = ItemServer(clock, settings, current_config)
        self._served: dict[int, PartitionService] = {}
        self._peers = peers or PeerClient(reactor, internal_key, settings.forward_s)
        self._api = PeerApi(self._serve_here, internal_key)
        self._periodic_tasks = PeriodicTasks(reactor)
        self._maintenance = Maintenance(name, clock, rng, settings, current_config)

    @property
    def internal_resource(self) -> Any:
        """The resource for ``/internal``; it expects the full request path."""
        return self._api.app.resource()

    @property
    def settings(self) -> BatchSettings:
        """The settings, with the commit limits of a single partition."""
        return self._settings

    def owns(self, partition: int) -> bool:
        """Returns whether this entry is the owner of a partition."""
        return self._is_owner(partition)

    @property
    def runners(self) -> Mapping[int, PartitionRunner]:
        """The runners of all partitions served here, by partition number."""
        return {number: each.runner for number, each in self._served.items()}

    def start(self) -> None:
        """Starts serving the partitions that this entry owns."""
        self._periodic_tasks.repeat(self._follow_ownership, self._settings.ownership_s)
        self._periodic_tasks.repeat(self._poll, self._settings.poll_s)
        self._periodic_tasks.repeat(self._tick, TICK_INTERVAL_S)
        self._periodic_tasks.repeat(self._maintain, self._settings.maintenance_s)

    async def stop(self) -> None:
        """Stops serving at once."""
        self._periodic_tasks.stop()
        for service in self._served.values():
            service.runner.stop()
        self._served.clear()
        await self._peers.close()

    async def upload_file(
        self, workspace: str, filename: str, purpose: str, data: bytes
    ) -> FileView:
        """Stores a file; uploading the same content again returns the same file.

        Raises `FileTooLargeError`, or `InvalidJsonlError` for a batch input file.
        """
        self._check_size(data)
        file_id = file_id_for(workspace, purpose, data, self.partitions)
        partition = partition_of_file(file_id, self.partitions)
        async for _ in checked_chunks(data, purpose, self._reactor):
            pass
        count = 0
        window = CallWindow(MAX_CONCURRENT_CHUNKS)
        async for chunk in checked_chunks(data, "", self._reactor):
            call = calls.StoreChunk(partition, file_id, count, chunk)
            await window.add(self._call(call))
            count += 1
        await window.finish()
        create = calls.CreateFile(
            partition, file_id, workspace, filename, purpose, len(data), count
        )
        return await self._call(create)

    async def get_file(self, workspace: str, file_id: str) -> FileView:
        """Returns a file; raises `UnknownFileError`."""
        partition = partition_of_file(file_id, self.partitions)
        return await self._call(calls.GetFile(partition, file_id, workspace))

    async def list_files(
        self,
        workspace: str,
        limit: int = 100,
        after: str = "",
        purpose: str = "",
    ) -> tuple[list[FileView], bool]:
        """Returns a page of files, newest first, and whether there are more."""
        before = None
        if after:
            before = (await self.get_file(workspace, after)).created_at
        files: list[FileView] = []
        for partition in range(self.partitions):
            call = calls.ListFiles(
                partition, workspace, purpose, limit + 1, before, after
            )
            files += (await self._call(call)).files
        files.sort(key=lambda view: (-view.created_at, view.file_id))
        return files[:limit], len(files) > limit

    def file_content(self, workspace: str, file_id: str) -> AsyncIterator[bytes]:
        """Yields a file's content in parts; raises `UnknownFileError`."""
        return self._read_parts(workspace, file_id)

    async def delete_file(self, workspace: str, file_id: str) -> None:
        """Deletes a file; raises `UnknownFileError`."""
        partition = partition_of_file(file_id, self.partitions)
        await self._call(calls.DeleteFile(partition, file_id, workspace))

    async def create_job(
        self,
        workspace: str,
        input_file_id: str,
        endpoint: str,
        completion_window: str = "24h",
        metadata: Mapping[str, str] | None = None,
        idempotency_key: str = "",
    ) -> JobView:
        """Creates a job and returns it once it is durable.

        Repeating the same request returns the same job, with or without a key.
        """
        window_seconds(completion_window)
        partition_of_file(input_file_id, self.partitions)
        fields = dict(metadata or {})
        digest = request_digest(input_file_id, endpoint, completion_window, fields)
        job_id = job_id_for(workspace, idempotency_key, digest, self.partitions)
        call = calls.CreateJob(
            partition_of_job(job_id, self.partitions),
            job_id,
            digest,
            workspace,
            input_file_id,
            endpoint,
            completion_window,
            idempotency_key,
            fields,
        )
        return await self._call(call)

    async def get_job(self, workspace: str, job_id: str) -> JobView:
        """Returns a job; an empty workspace matches any.

        Raises `UnknownJobError`.
        """
        partition = partition_of_job(job_id, self.partitions)
        return await self._call(calls.GetJob(partition, job_id, workspace))

    async def list_jobs(
        self, workspace: str, limit: int = 20, after: str = ""
    ) -> tuple[list[JobView], bool]:
        """Returns a page of jobs, newest first, and whether there are more.

        An empty workspace matches any.
        """
        before = None
        if after:
            before = (await self.get_job(workspace, after)).created_at
        jobs: list[JobView] = []
        for partition in range(self.partitions):
            call = calls.ListJobs(partition, workspace, limit + 1, before, after)
            jobs += (await self._call(call)).jobs
        jobs.sort(key=lambda view: (-view.created_at, view.job_id))
        return jobs[:limit], len(jobs) > limit

    async def cancel_job(self, workspace: str, job_id: str) -> JobView:
        """Stops a job at once.

        The job's status is "cancelling" until the cancellation is durable.
        """
        partition = partition_of_job(job_id, self.partitions)
        return await self._call(calls.CancelJob(partition, job_id, workspace))

    async def pull(self, pull: ItemPull) -> ItemGrants:
        """Grants a sidecar items of the partitions that this entry owns."""
        runners = [
            service.runner
            for partition, service in sorted(self._served.items())
            if self._is_owner(partition) and service.runner.is_open
        ]
        if not runners:
            return ItemGrants()
        items, cancelled = await self._items.pull(pull, runners)
        return ItemGrants(tuple(items), 0, tuple(cancelled))

    async def results(self, results: ItemResults) -> Acknowledgement:
        """Commits outcomes here or at the owners of their partitions.

        The acknowledgement holds an error unless all of them are durable.
        """
        self.on_heartbeat(results.instance, results.incarnation)
        self._note_crash(results)
        by_partition: dict[int, list] = {}
        for outcome in results.outcomes:
            by_partition.setdefault(outcome.partition, []).append(outcome)
        error: ErrorReport | None = None
        for partition, outcomes in by_partition.items():
            part = ItemResults(results.instance, results.incarnation, tuple(outcomes))
            try:
                await self._call(calls.TakeResults(partition, part))
            except PomeloshiftError as exc:
                error = exc.report()
        return Acknowledgement(0, self.name, error=error)

    async def release(self, release: LeaseRelease) -> Acknowledgement:
        """Releases leases here or at the owners of their partitions."""
        by_partition: dict[int, list[int]] = {}
        for position, lease_id in enumerate(release.lease_ids):
            name = parse_lease_id(lease_id)
            if name is not None and name.partition < self.partitions:
                by_partition.setdefault(name.partition, []).append(position)
        error: ErrorReport | None = None
        for partition, positions in by_partition.items():
            part = _part_of_release(release, positions)
            try:
                await self._call(calls.TakeRelease(partition, part))
            except PomeloshiftError as exc:
                error = exc.report()
        return Acknowledgement(0, self.name, error=error)

    def instance_lost(self, instance: str, incarnation: int) -> None:
        """Counts a crash for the running items of a backend server that was lost."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        for runner in self._open_runners():
            owner = runner.owner
            runner.post(owner.instance_lost(instance, incarnation, now, wall))

    def on_heartbeat(self, instance: str, incarnation: int) -> None:
        """Called for a sidecar's heartbeat, which shows that the sidecar is alive."""
        now = self._clock.monotonic()
        for runner in self._open_runners():
            runner.owner.on_heartbeat(instance, incarnation, now)

    def _check_size(self, data: bytes) -> None:
        if len(data) > self._settings.max_file_bytes:
            raise FileTooLargeError(
                f"the file has {len(data)} bytes; "
                f"the limit is {self._settings.max_file_bytes} bytes"
            )

    async def _read_parts(self, workspace: str, file_id: str) -> AsyncIterator[bytes]:
        partition = partition_of_file(file_id, self.partitions)
        part = 0
        while True:
            call = calls.ReadPart(partition, file_id, workspace, part)
            reply = await self._call(call)
            yield reply.data
            part += 1
            if reply.is_last:
                return

    async def _call(self, call: Any) -> Any:
        """Executes a call at the partition's owner, or here if that is unreachable."""
        owner = self._owner(call.partition)
        if owner is None or owner.name == self.name:
            return await self._serve_here(call)
        try:
            return await self._peers.call(owner.address, call)
        except OwnerUnreachableError as exc:
            logger.warning(
                "event=owner_unreachable partition={} owner={} message={!r}",
                call.partition,
                owner.name,
                exc.message,
            )
            return await self._serve_here(call)

    async def _serve_here(self, call: Any) -> Any:
        service = self._open(call.partition)
        await service.runner.wait_open()
        if isinstance(call, calls.TakeResults):
            self._note_crash(call.results)
        if isinstance(call, LOOK_UPS):
            await service.runner.refresh()
        return await service.serve(call)

    def _note_crash(self, results: ItemResults) -> None:
        if any(_is_crash(outcome) for outcome in results.outcomes):
            now = self._clock.monotonic()
            for runner in self._open_runners():
                runner.owner.record_crash_report(results.instance, now)

    def _owner(self, partition: int) -> Instance | None:
        entries = {
            entry.name: entry
            for entry in self._entries()
            if entry.state is InstanceState.LIVE
        }
        name = owner_of(partition, entries)
        return entries[name] if name is not None else None

    def _is_owner(self, partition: int) -> bool:
        owner = self._owner(partition)
        return owner is None or owner.name == self.name

    def _open(self, partition: int) -> PartitionService:
        service = self._served.get(partition)
        if service is None:
            runner = PartitionRunner(
                partition,
                self.name,
                self._log,
                self._reactor,
                self._clock,
                self._rng,
                self._settings,
                self._cache,
            )
            service = PartitionService(
                runner,
                self._items,
                self._clock,
                self._settings,
                self._read_parts,
                self._current_config,
                self.name,
            )
            self._served[partition] = service
            spawn(runner.open())
        service.runner.used_at = self._clock.monotonic()
        return service

    def _follow_ownership(self) -> None:
        now = self._clock.monotonic()
        for partition in range(self.partitions):
            if self._is_owner(partition):
                self._open(partition)
        for partition, service in list(self._served.items()):
            is_unused = now - service.runner.used_at > self._settings.linger_s
            if is_unused and service.runner.is_idle:
                service.runner.stop()
                del self._served[partition]

    def _poll(self) -> None:
        for runner in self._open_runners():
            spawn(runner.sync())

    def _tick(self) -> None:
        for runner in self._open_runners():
            runner.tick()

    async def _maintain(self) -> None:
        for partition, service in list(self._served.items()):
            if self._is_owner(partition) and service.runner.is_open:
                await self._maintenance.run(service.runner)

    def _open_runners(self) -> list[PartitionRunner]:
        runners = [service.runner for service in self._served.values()]
        return [runner for runner in runners if runner.is_open]


def _is_crash(outcome: ItemOutcome) -> bool:
    error = outcome.error
    return error is not None and error.code is ErrorCode.BACKEND_SERVER_LOST


def _part_of_release(release: LeaseRelease, positions: list[int]) -> LeaseRelease:
    resumes = release.resumes
    return LeaseRelease(
        release.instance,
        tuple(release.lease_ids[position] for position in positions),
        tuple(
            resumes[position] if position < len(resumes) else b""
            for position in positions
        ),
    )
