"""Dispatches the calls for one partition to their handlers."""

from collections.abc import Awaitable, Callable
from typing import Any

from ...config import Configuration
from ...net import Clock
from . import _calls as calls
from ._errors import RemoteError
from ._file_store import FileStore
from ._item_server import ItemServer
from ._job_store import JobStore, ReadInput
from ._partition_runner import PartitionRunner
from ._settings import BatchSettings


class PartitionService:
    """Executes calls at a partition's owner; ``writer`` is this entry's name."""

    def __init__(
        self,
        runner: PartitionRunner,
        items: ItemServer,
        clock: Clock,
        settings: BatchSettings,
        read_input: ReadInput,
        current_config: Callable[[], Configuration | None],
        writer: str,
    ) -> None:
        self.runner = runner
        self._items = items
        files = FileStore(runner, clock, settings.accept_s, writer)
        jobs = JobStore(runner, clock, settings.accept_s, read_input, current_config)
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            calls.StoreChunk: files.store_chunk,
            calls.CreateFile: files.create,
            calls.GetFile: files.get,
            calls.DeleteFile: files.delete,
            calls.ListFiles: files.list_newest,
            calls.ReadPart: files.read_part,
            calls.CreateJob: jobs.create,
            calls.GetJob: jobs.get,
            calls.ListJobs: jobs.list_newest,
            calls.CancelJob: jobs.cancel,
            calls.TakeResults: self._take_results,
            calls.TakeRelease: self._take_release,
        }

    async def serve(self, call: Any) -> Any:
        """Executes a call and returns its reply."""
        return await self._handlers[type(call)](call)

    async def _take_results(self, call: calls.TakeResults) -> calls.Done:
        error = await self._items.take_results(self.runner, call.results)
        if error is not None:
            raise RemoteError(error)
        return calls.Done()

    async def _take_release(self, call: calls.TakeRelease) -> calls.Done:
        self._items.take_release(self.runner, call.release)
        return calls.Done()
