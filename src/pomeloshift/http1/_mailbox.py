"""A queue from callbacks to one coroutine."""

from collections import deque
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred

from ._errors import CallTimeoutError

T = TypeVar("T")


class Mailbox(Generic[T]):
    """An unbounded queue of messages that a single coroutine reads."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._messages: deque[T] = deque()
        self._waiter: Deferred[None] | None = None

    def put(self, message: T) -> None:
        """Adds a message and wakes the reader."""
        self._messages.append(message)
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    def take(self) -> T | None:
        """Returns the next message, or None if there is none."""
        return self._messages.popleft() if self._messages else None

    async def get(self, timeout_s: float) -> T:
        """Waits for the next message; raises `CallTimeoutError` after ``timeout_s``.

        Without time left it raises at once: a message that arrives in every turn of
        the reactor would be read before the timer of such a wait.
        """
        while not self._messages:
            if timeout_s <= 0:
                raise CallTimeoutError("no event arrived in time")
            waiter: Deferred[None] = Deferred(self._clear_waiter)
            self._waiter = waiter
            timer = self._reactor.callLater(timeout_s, self._expire, waiter)
            try:
                await waiter
            finally:
                if timer.active():
                    timer.cancel()
        return self._messages.popleft()

    def _clear_waiter(self, waiter: Deferred[None]) -> None:
        if self._waiter is waiter:
            self._waiter = None

    def _expire(self, waiter: Deferred[None]) -> None:
        if self._waiter is waiter:
            self._waiter = None
            waiter.errback(CallTimeoutError("no event arrived in time"))
