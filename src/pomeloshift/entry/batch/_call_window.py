"""Runs a bounded number of coroutines at a time."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred


class CallWindow:
    """Starts coroutines and waits while too many of them run.

    The first failure is raised by the next `add` or by `finish`; no coroutine is
    started behind it.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running: list[Deferred[Any]] = []
        self._failure: Any = None

    async def add(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Starts a coroutine once there is room for it."""
        while len(self._running) >= self._limit:
            await self._running.pop(0)
        if self._failure is not None:
            coroutine.close()
            await self.finish()
        started = Deferred.fromCoroutine(coroutine).addErrback(self._keep)
        self._running.append(started)

    async def finish(self) -> None:
        """Waits for all coroutines; raises the first failure."""
        while self._running:
            await self._running.pop(0)
        if self._failure is not None:
            self._failure.raiseException()

    def _keep(self, failure: Any) -> None:
        self._failure = self._failure or failure
