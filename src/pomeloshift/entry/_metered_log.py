"""Metrics of the operations of the log service."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from ..errors import PomeloshiftError
from ..log import LogPage, LogStore
from ..metrics import Metrics
from ..net import Clock

T = TypeVar("T")


class MeteredLog:
    """A `LogStore` that wraps another one and counts and times its operations."""

    def __init__(self, log: LogStore, metrics: Metrics, clock: Clock) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends payloads and returns the offset of the first one."""
        offset = await self._timed("append", lambda: self._log.append(stream, payloads))
        self._metrics.inc("log_records_total", len(payloads))
        return offset

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns a page of at most ``limit`` records from ``offset`` on."""
        return await self._timed("read", lambda: self._log.read(stream, offset, limit))

    async def _timed(self, operation: str, call: Callable[[], Awaitable[T]]) -> T:
        started = self._clock.monotonic()
        outcome = "internal"
        try:
            result = await call()
            outcome = "ok"
            return result
        except PomeloshiftError as exc:
            outcome = exc.code.value
            raise
        finally:
            elapsed_s = self._clock.monotonic() - started
            metrics = self._metrics
            metrics.inc("log_operations_total", operation=operation, outcome=outcome)
            metrics.observe("log_operation_seconds", elapsed_s, operation=operation)
