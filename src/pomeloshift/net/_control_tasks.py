"""Tasks that wait on pynng and must have ended before the interpreter does."""

import asyncio
import atexit
from collections.abc import Coroutine
from typing import Any

# pynng drops a cancellation that arrives when its call has just completed, so it is
# repeated; far longer than a task takes to notice one.
RECANCEL_S = 0.1


class TaskGroup:
    """Runs coroutines on one loop and ends them together.

    pynng aborts the process if a coroutine that waits on one of its sockets is still
    there when the interpreter shuts down; tasks left over are ended before that.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[Any]] = set()
        atexit.register(self._end_at_exit)

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task of the group."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and returns when they have ended."""
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=RECANCEL_S)
        atexit.unregister(self._end_at_exit)

    def _end_at_exit(self) -> None:
        if self._tasks and not self._loop.is_running() and not self._loop.is_closed():
            self._loop.run_until_complete(self.cancel())
