"""Functions that a process runs again and again."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import LoopingCall

from ..errors import PomeloshiftError


class Loops:
    """Runs functions at intervals until it is stopped.

    A turn that fails is logged and the loop goes on; a turn never starts before the
    last one has ended.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._loops: list[LoopingCall] = []

    def repeat(self, function: Callable[[], Any], interval_s: float) -> None:
        """Calls ``function`` now and every ``interval_s`` seconds.

        The function may be a coroutine function that awaits deferreds.
        """
        loop = LoopingCall(_guard(function))
        loop.clock = self._reactor
        loop.start(interval_s, now=True)
        self._loops.append(loop)

    def stop(self) -> None:
        """Ends all loops; a turn under way goes on to its end."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._loops.clear()


def spawn(coroutine: Any) -> Deferred[Any]:
    """Starts a coroutine and logs the exception that ends it, if any."""
    return Deferred.fromCoroutine(coroutine).addErrback(_log_failure, "task")


def _guard(function: Callable[[], Any]) -> Callable[[], Deferred[Any]]:
    name = getattr(function, "__qualname__", "loop")

    def turn() -> Deferred[Any]:
        return maybeDeferred(function).addErrback(_log_failure, name)

    return turn


def _log_failure(failure: Any, name: str) -> None:
    if failure.check(PomeloshiftError):
        logger.warning(
            "event=turn_failed task={} code={} message={!r}",
            name,
            failure.value.code.value,
            failure.value.message,
        )
    else:
        logger.opt(exception=failure.value).error("event=turn_failed task={}", name)
