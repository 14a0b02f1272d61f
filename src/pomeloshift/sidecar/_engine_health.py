"""Health checks of an engine, and the incident ids of its failures."""

from collections.abc import Awaitable, Callable

from loguru import logger

from ..net._periodic_tasks import spawn
from ._engine_client import EngineClient

POLL_INTERVAL_S = 0.25


class EngineHealth:
    """Tracks whether an engine responds, and polls it while it is down.

    ``on_state_change`` is called whenever `is_down` changes. Failures are numbered: all
    streams that end by the same failure report the same incident.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        engine: EngineClient,
        sleep: Callable[[float], Awaitable[None]],
        on_state_change: Callable[[], None],
    ) -> None:
        self.is_down = False
        self._name = name
        self._incarnation = incarnation
        self._engine = engine
        self._sleep = sleep
        self._on_state_change = on_state_change
        self._failure_count = 0
        self._is_closed = False

    @property
    def incident(self) -> str:
        """The id of the latest failure, unique across restarts of the sidecar."""
        return f"{self._name}/{self._incarnation}/{self._failure_count}"

    async def check(self) -> None:
        """Checks the engine's health, unless the engine is known to be down."""
        if not self.is_down and not await self._engine.is_alive():
            self.mark_down()

    def mark_down(self) -> None:
        """Marks the engine as down and polls it until it responds."""
        if self.is_down or self._is_closed:
            return
        self.is_down = True
        self._failure_count += 1
        logger.warning("event=engine_down engine={}", self._name)
        self._on_state_change()
        spawn(self._wait_until_up())

    def close(self) -> None:
        """Stops the health checks."""
        self._is_closed = True

    async def _wait_until_up(self) -> None:
        while not self._is_closed and not await self._engine.is_alive():
            await self._sleep(POLL_INTERVAL_S)
        self.is_down = False
        if not self._is_closed:
            logger.info("event=engine_up engine={}", self._name)
            self._on_state_change()
