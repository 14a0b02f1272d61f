"""Limits how many coroutines run concurrently."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred


class CallWindow:
    """Starts coroutines, at most ``limit`` of them at a time.

    After a coroutine has failed, no other one is started, and the next `add` or
    `finish` raises the first failure.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running: list[Deferred[Any]] = []
        self._failure: Any = None

    async def add(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Waits while ``limit`` coroutines run, then starts another one."""
        while len(self._running) >= self._limit:
            await self._running.pop(0)
        if self._failure is not None:
            coroutine.close()
            await self.finish()
        started = Deferred.fromCoroutine(coroutine).addErrback(self._record_failure)
        self._running.append(started)

    async def finish(self) -> None:
        """Waits for all coroutines; raises the first failure."""
        while self._running:
            await self._running.pop(0)
        if self._failure is not None:
            self._failure.raiseException()

    def _record_failure(self, failure: Any) -> None:
        self._failure = self._failure or failure
