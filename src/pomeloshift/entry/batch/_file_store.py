"""Stores and reads the files of one partition."""

from ...batch import (
    FileChunkStored,
    FileCreated,
    FileDeleted,
    FileState,
    FileView,
    InvalidJobError,
    JobState,
    Result,
    UnknownFileError,
    file_view,
    job_of_result_file,
    output_file_id,
    parse_item,
    result_line,
)
from ...batch import ItemStatus as Status
from ...log import Record
from ...net import Clock
from ._calls import (
    CreateFile,
    DeleteFile,
    Done,
    FileList,
    FilePart,
    GetFile,
    ListFiles,
    ReadPart,
    StoreChunk,
)
from ._errors import NotAcceptedError
from ._partition_runner import PartitionRunner


class FileStore:
    """Executes the calls for files at their partition's owner.

    ``accept_s`` is how many seconds an append may take, and ``writer`` names this
    entry in the ids of the records.
    """

    def __init__(
        self, runner: PartitionRunner, clock: Clock, accept_s: float, writer: str
    ) -> None:
        self._runner = runner
        self._clock = clock
        self._accept_s = accept_s
        self._writer = writer

    async def store_chunk(self, call: StoreChunk) -> Done:
        """Stores one chunk of an upload, unless the file already exists."""
        if call.file_id not in self._runner.state.files:
            body = FileChunkStored(call.file_id, call.chunk, call.data)
            record = Record(f"{call.file_id}/{call.chunk}", body)
            await self._runner.commit([record], self._accept_s)
        return Done()

    async def create(self, call: CreateFile) -> FileView:
        """Creates a file from its stored chunks; repeating the call is safe.

        Raises `NotAcceptedError` if chunks are missing.
        """
        if call.file_id not in self._runner.state.files:
            body = FileCreated(
                call.file_id,
                call.workspace,
                call.filename,
                call.purpose,
                call.size,
                call.chunks,
                self._clock.wall(),
            )
            record_id = f"{call.file_id}/created/{self._writer}/{body.created_at}"
            await self._runner.commit([Record(record_id, body)], self._accept_s)
        file = self._runner.state.files.get(call.file_id)
        if file is None:
            raise NotAcceptedError("chunks of the file are missing; upload it again")
        return file_view(file)

    async def get(self, call: GetFile) -> FileView:
        """Returns an uploaded file or a job's result file."""
        job_id = job_of_result_file(call.file_id)
        if job_id is None:
            return file_view(self._file(call.file_id, call.workspace))
        job = self._job(job_id, call.file_id, call.workspace)
        size = 0
        for chunk in range(len(job.chunks)):
            size += len(await self._result_part(job, call.file_id, chunk))
        purpose = "batch_output"
        filename = f"{call.file_id}.jsonl"
        at = job.ended_at or job.created_at
        return FileView(call.file_id, job.workspace, filename, purpose, size, at)

    async def delete(self, call: DeleteFile) -> Done:
        """Deletes an uploaded file; raises `InvalidJobError` for a result file."""
        if job_of_result_file(call.file_id) is not None:
            raise InvalidJobError("a result file is deleted with its batch")
        file = self._file(call.file_id, call.workspace)
        body = FileDeleted(file.file_id, self._clock.wall())
        record_id = f"{file.file_id}/deleted/{self._writer}/{body.at}"
        await self._runner.commit([Record(record_id, body)], self._accept_s)
        return Done()

    async def list_newest(self, call: ListFiles) -> FileList:
        """Returns one page of a workspace's files, newest first."""
        views = [
            file_view(file)
            for file in self._runner.state.files.values()
            if file.workspace == call.workspace
            and call.purpose in ("", file.purpose)
            and is_after(file.created_at, file.file_id, call.before, call.after_id)
        ]
        views.sort(key=lambda view: (-view.created_at, view.file_id))
        return FileList(tuple(views[: call.limit]))

    async def read_part(self, call: ReadPart) -> FilePart:
        """Returns one part of a file's content: one stored chunk or its results."""
        job_id = job_of_result_file(call.file_id)
        if job_id is not None:
            job = self._job(job_id, call.file_id, call.workspace)
            data = await self._result_part(job, call.file_id, call.part)
            return FilePart(data, call.part + 1 >= len(job.chunks))
        file = self._file(call.file_id, call.workspace)
        record = await self._runner.record_at(file.chunks[call.part])
        return FilePart(record.body.data, call.part + 1 >= len(file.chunks))

    async def _result_part(self, job: JobState, file_id: str, chunk: int) -> bytes:
        is_output = file_id == output_file_id(job.job_id)
        wanted = Status.COMPLETED if is_output else Status.FAILED
        indexes = [i for i in job.chunk_range(chunk) if job.status[i] == wanted]
        if not indexes:
            return b""
        lines = (await self._runner.record_at(job.chunks[chunk])).body.lines
        offsets = [job.results[index] for index in indexes]
        records = await self._runner.records_at(offsets)
        first = job.first_indexes[chunk]
        return b"".join(
            result_line(
                parse_item(lines[index - first]).custom_id, records[offset].body
            )
            for index, offset in zip(indexes, offsets, strict=True)
        )

    def _file(self, file_id: str, workspace: str) -> FileState:
        file = self._runner.state.files.get(file_id)
        if file is None or workspace not in ("", file.workspace):
            raise UnknownFileError(f"there is no file {file_id!r}")
        return file

    def _job(self, job_id: str, file_id: str, workspace: str) -> JobState:
        job = self._runner.state.jobs.get(job_id)
        if job is None or workspace not in ("", job.workspace):
            raise UnknownFileError(f"there is no file {file_id!r}")
        return job


def _result(record: Record) -> Result:
    return record.body


def is_after(created_at: float, name: str, before: float | None, after_id: str) -> bool:
    """Returns whether an item belongs on a page that starts behind another one.

    Lists are sorted newest first, then by id. ``before`` and ``after_id`` are the
    creation time and the id of the last item of the previous page; ``before`` is
    `None` for the first page.
    """
    if before is None:
        return True
    return (-created_at, name) > (-before, after_id)
