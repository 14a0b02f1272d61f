"""Whether an engine answers, and the names of its losses."""

from collections.abc import Awaitable, Callable

from loguru import logger

from ..net._periodic_tasks import spawn
from ._engine_client import EngineClient

POLL_S = 0.25


class EngineHealth:
    """Follows one engine from its loss until it answers again.

    ``on_state`` is called whenever `is_down` changes. The losses are numbered, so
    that all streams of one loss name the same incident.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        engine: EngineClient,
        sleep: Callable[[float], Awaitable[None]],
        on_state: Callable[[], None],
    ) -> None:
        self.is_down = False
        self._name = name
        self._incarnation = incarnation
        self._engine = engine
        self._sleep = sleep
        self._on_state = on_state
        self._losses = 0
        self._closed = False

    @property
    def incident(self) -> str:
        """The name of the latest loss, unique to this run of the sidecar."""
        return f"{self._name}/{self._incarnation}/{self._losses}"

    async def check(self) -> None:
        """Asks whether the engine answers, unless it is known to be down."""
        if not self.is_down and not await self._engine.alive():
            self.mark_down()

    def mark_down(self) -> None:
        """Notes that the engine was lost; from now on it is asked until it answers."""
        if self.is_down or self._closed:
            return
        self.is_down = True
        self._losses += 1
        logger.warning("event=engine_down engine={}", self._name)
        self._on_state()
        spawn(self._wait_until_up())

    def close(self) -> None:
        """Asks no more."""
        self._closed = True

    async def _wait_until_up(self) -> None:
        while not self._closed and not await self._engine.alive():
            await self._sleep(POLL_S)
        self.is_down = False
        if not self._closed:
            logger.info("event=engine_up engine={}", self._name)
            self._on_state()
