"""Creates, reads and cancels the jobs of one partition."""

from collections.abc import AsyncIterator, Callable

from twisted.internet.defer import Deferred

from ...batch import (
    IdempotencyConflictError,
    InvalidJobError,
    JobChunkStored,
    JobCreated,
    JobState,
    JobView,
    ParsedItem,
    UnknownJobError,
    item_lines,
    job_view,
    parse_item,
    window_seconds,
)
from ...config import Configuration
from ...errors import ErrorCode, PomeloshiftError, Ran
from ...log import Record
from ...net import Clock
from ._call_window import CallWindow
from ._calls import CancelJob, CreateJob, GetJob, JobList, ListJobs
from ._errors import NotAcceptedError
from ._file_store import is_after
from ._partition_runner import PartitionRunner

MAX_CHUNK_ITEMS = 500
MAX_CONCURRENT_CHUNKS = 8
JOB_METHOD = "POST"


class UnknownServiceError(PomeloshiftError):
    """A job names a model that the configuration does not contain."""

    code = ErrorCode.UNKNOWN_MODEL
    ran = Ran.NO


ReadInput = Callable[[str, str], AsyncIterator[bytes]]


class JobStore:
    """Executes the calls for jobs at their partition's owner.

    ``read_input`` yields the chunks of an input file, whichever entry owns the
    file's partition. ``accept_s`` is how many seconds an append may take.
    """

    def __init__(
        self,
        runner: PartitionRunner,
        clock: Clock,
        accept_s: float,
        read_input: ReadInput,
        current_config: Callable[[], Configuration | None],
    ) -> None:
        self._runner = runner
        self._clock = clock
        self._accept_s = accept_s
        self._read_input = read_input
        self._current_config = current_config
        self._creating: dict[str, list[Deferred[None]]] = {}

    async def create(self, call: CreateJob) -> JobView:
        """Creates a job; a repeated call returns the existing one.

        Raises `IdempotencyConflictError` if the key was used for another request.
        """
        key = f"{call.job_id}/{call.digest}"
        while key in self._creating and call.job_id not in self._runner.state.jobs:
            waiter: Deferred[None] = Deferred()
            self._creating[key].append(waiter)
            await waiter
        if call.job_id not in self._runner.state.jobs:
            await self._create_once(key, call)
        job = self._runner.state.jobs.get(call.job_id)
        if job is None:
            raise NotAcceptedError("the job was not accepted; repeat the request")
        if job.digest != call.digest or job.workspace != call.workspace:
            raise IdempotencyConflictError(
                "the idempotency key was already used for a different request"
            )
        return self._view(job)

    async def get(self, call: GetJob) -> JobView:
        """Returns a job; raises `UnknownJobError`."""
        return self._view(self._job(call.job_id, call.workspace))

    async def cancel(self, call: CancelJob) -> JobView:
        """Stops a job at once.

        The job's status is "cancelling" until the cancellation is durable.
        """
        job = self._job(call.job_id, call.workspace)
        record = self._runner.owner.cancel(job.job_id, self._clock.wall())
        if record is not None:
            result = await self._runner.submit([record])
            self._runner.post(result.not_buffered)
        return self._view(job)

    async def list_newest(self, call: ListJobs) -> JobList:
        """Returns one page of a workspace's jobs, newest first."""
        jobs = [
            job
            for job in self._runner.state.jobs.values()
            if call.workspace in ("", job.workspace)
            and is_after(job.created_at, job.job_id, call.before, call.after_id)
        ]
        jobs.sort(key=lambda job: (-job.created_at, job.job_id))
        return JobList(tuple(self._view(job) for job in jobs[: call.limit]))

    async def _create_once(self, key: str, call: CreateJob) -> None:
        self._creating[key] = []
        try:
            await self._append_job(call)
        finally:
            for waiter in self._creating.pop(key):
                waiter.callback(None)

    async def _append_job(self, call: CreateJob) -> None:
        window_s = window_seconds(call.completion_window)
        items, chunks, first = 0, 0, None
        window = CallWindow(MAX_CONCURRENT_CHUNKS)
        async for lines in self._input_groups(call):
            first = first or self._check(parse_item(lines[0]), call)
            await window.add(self._append_chunk(call, chunks, items, lines))
            chunks, items = chunks + 1, items + len(lines)
        await window.finish()
        if first is None:
            raise InvalidJobError("the input file has no items")
        body = JobCreated(
            call.job_id,
            call.digest,
            call.workspace,
            first.service,
            call.endpoint,
            call.input_file_id,
            call.completion_window,
            window_s,
            call.idempotency_key,
            items,
            chunks,
            self._clock.wall(),
            self._is_repeatable(first),
            call.metadata,
        )
        record = Record(f"{call.job_id}/{call.digest}/created", body)
        await self._runner.commit([record], self._accept_s)

    async def _input_groups(self, call: CreateJob) -> AsyncIterator[list[bytes]]:
        """Yields the input file's lines in groups, each of which fits one record."""
        async for data in self._read_input(call.workspace, call.input_file_id):
            lines = item_lines(data)
            for start in range(0, len(lines), MAX_CHUNK_ITEMS):
                yield lines[start : start + MAX_CHUNK_ITEMS]

    async def _append_chunk(
        self, call: CreateJob, chunk: int, first_index: int, lines: list[bytes]
    ) -> None:
        items = [parse_item(line) for line in lines]
        tokens = tuple(item.prompt_tokens + item.output_tokens for item in items)
        body = JobChunkStored(
            call.job_id, call.digest, chunk, first_index, tuple(lines), tokens
        )
        record = Record(f"{call.job_id}/{call.digest}/{chunk}", body)
        await self._runner.commit([record], self._accept_s)

    def _check(self, item: ParsedItem, call: CreateJob) -> ParsedItem:
        if item.path != call.endpoint:
            raise InvalidJobError(
                f"the input file's items are for {item.path}, not {call.endpoint}"
            )
        cfg = self._current_config()
        if cfg is not None and cfg.service(item.service) is None:
            raise UnknownServiceError(f"there is no model {item.service!r}")
        return item

    def _is_repeatable(self, item: ParsedItem) -> bool:
        cfg = self._current_config()
        service = cfg.service(item.service) if cfg is not None else None
        return service is None or service.is_repeatable(JOB_METHOD, item.path)

    def _job(self, job_id: str, workspace: str) -> JobState:
        job = self._runner.state.jobs.get(job_id)
        if job is None or workspace not in ("", job.workspace):
            raise UnknownJobError(f"there is no batch {job_id!r}")
        return job

    def _view(self, job: JobState) -> JobView:
        return job_view(job, self._runner.owner.is_cancelling(job.job_id))
