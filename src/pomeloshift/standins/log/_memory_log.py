"""An in-memory log store, for tests and benchmarks in virtual time."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from ...log import AppendOutcomeUnknownError, LogPage
from ._model import LogModel


class MemoryLog:
    """A `pomeloshift.log.LogStore` over a `LogModel` in the same process.

    ``now`` returns the time in seconds. ``sleep`` waits for a number of seconds and
    is needed only if the faults include a delay. An operation is applied before the
    delay and returns after it.
    """

    def __init__(
        self,
        model: LogModel,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[Any]] | None = None,
    ) -> None:
        self.model = model
        self._now = now
        self._sleep = sleep

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends the payloads and returns the first one's offset.

        Raises `AppendOutcomeUnknownError` if the response is lost, although the
        append was applied.
        """
        result = self.model.append(stream, payloads, self._now())
        await self._delay()
        if result.is_lost:
            raise AppendOutcomeUnknownError("the response to an append was lost")
        return result.first_offset

    async def read(self, stream: str, offset: int, limit: int = 1000) -> LogPage:
        """Returns up to ``limit`` records from ``offset`` on."""
        page = self.model.read(stream, offset, limit, self._now())
        await self._delay()
        return page

    async def _delay(self) -> None:
        delay_s = self.model.faults.delay_s
        if delay_s > 0 and self._sleep is not None:
            await self._sleep(delay_s)
