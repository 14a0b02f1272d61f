"""Tasks that wait on pynng sockets and must end before the interpreter exits."""

import asyncio
import atexit
from collections.abc import Coroutine
from typing import Any

# pynng loses a cancellation that arrives when its call has just completed, so `cancel`
# repeats it at this interval, which is far longer than a task needs to end.
RECANCEL_INTERVAL_S = 0.1


class TaskGroup:
    """Runs coroutines on one event loop and cancels them together.

    pynng aborts the process if a coroutine still waits on one of its sockets when the
    interpreter shuts down. The group therefore cancels remaining tasks at exit.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[Any]] = set()
        atexit.register(self._cancel_at_exit)

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a coroutine as a task of the group."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=RECANCEL_INTERVAL_S)
        atexit.unregister(self._cancel_at_exit)

    def _cancel_at_exit(self) -> None:
        if self._tasks and not self._loop.is_running() and not self._loop.is_closed():
            self._loop.run_until_complete(self.cancel())
