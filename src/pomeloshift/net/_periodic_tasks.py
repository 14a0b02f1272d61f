"""Runs functions of a process periodically or in the background."""

from asyncio import CancelledError as AsyncioCancelledError
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.task import LoopingCall

from ..errors import PomeloshiftError

RETRY_DELAY_S = 0.1


class PeriodicTasks:
    """Calls functions periodically until it is stopped.

    A call that fails is logged and does not end the repetition. A function is never
    called again before its last call has ended.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._loops: list[LoopingCall] = []
        self._calls: dict[Callable[[], float], Any] = {}

    def repeat(self, function: Callable[[], Any], interval_s: float) -> None:
        """Calls ``function`` now and every ``interval_s`` seconds.

        ``function`` may be a coroutine function that awaits deferreds.
        """
        loop = LoopingCall(_log_failures(function))
        loop.clock = self._reactor
        loop.start(interval_s, now=True)
        self._loops.append(loop)

    def repeat_with_delay(self, function: Callable[[], float]) -> None:
        """Calls ``function`` now and repeatedly.

        Each call returns the delay in seconds until the next one. After a call that
        fails, the delay is `RETRY_DELAY_S`.
        """
        self._schedule(function, 0.0)

    def _schedule(self, function: Callable[[], float], delay_s: float) -> None:
        self._calls[function] = self._reactor.callLater(delay_s, self._run, function)

    def _run(self, function: Callable[[], float]) -> None:
        try:
            delay_s = function()
        except Exception as exc:
            delay_s = RETRY_DELAY_S
            logger.opt(exception=exc).error(
                "event=turn_failed task={}", function.__qualname__
            )
        if function in self._calls:
            self._schedule(function, delay_s)

    def stop(self) -> None:
        """Stops all repetitions; calls under way run to their end."""
        for call in self._calls.values():
            if call.active():
                call.cancel()
        self._calls.clear()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._loops.clear()


def spawn(coroutine: Any) -> Deferred[Any]:
    """Starts a coroutine in the background and logs the exception that ends it."""
    return Deferred.fromCoroutine(coroutine).addErrback(_log_failure, "task")


def _log_failures(function: Callable[[], Any]) -> Callable[[], Deferred[Any]]:
    name = getattr(function, "__qualname__", "loop")

    def run() -> Deferred[Any]:
        return maybeDeferred(function).addErrback(_log_failure, name)

    return run


def _log_failure(failure: Any, name: str) -> None:
    if failure.check(CancelledError, AsyncioCancelledError):
        return
    if failure.check(PomeloshiftError):
        logger.warning(
            "event=turn_failed task={} code={} message={!r}",
            name,
            failure.value.code.value,
            failure.value.message,
        )
    else:
        logger.opt(exception=failure.value).error("event=turn_failed task={}", name)
