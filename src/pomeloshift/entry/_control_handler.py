"""Answers the control messages that sidecars and other entries send."""

from collections.abc import Awaitable, Callable
from typing import Any

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..wire import (
    Acknowledgement,
    ConfigPull,
    ItemPull,
    ItemResults,
    LeaseRelease,
    SidecarReport,
)
from .batch import JobService
from .config import ConfigService


class UnexpectedMessageError(PomeloshiftError):
    """A peer sent a message that entries do not take."""

    code = ErrorCode.PROTOCOL_ERROR
    ran = Ran.NO


class ControlHandler:
    """Routes each control message to the part of the entry that serves it.

    ``observe`` receives heartbeats of sidecars.
    """

    def __init__(
        self,
        name: str,
        config: ConfigService,
        jobs: JobService,
        observe: Callable[[SidecarReport], None],
    ) -> None:
        self._name = name
        self._config = config
        self._jobs = jobs
        self._observe = observe
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            SidecarReport: self._take_report,
            ConfigPull: self._give_config,
            ItemPull: jobs.pull,
            ItemResults: jobs.results,
            LeaseRelease: jobs.release,
        }

    async def handle(self, message: Any) -> Any:
        """Returns the answer to a message; raises `UnexpectedMessageError`."""
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise UnexpectedMessageError(f"an entry does not take {name}")
        return await handler(message)

    async def _take_report(self, report: SidecarReport) -> Acknowledgement:
        self._observe(report)
        self._config.observe_version(report.instance.name, report.config_version)
        return Acknowledgement(self._config.version, self._name)

    async def _give_config(self, pull: ConfigPull) -> Any:
        return self._config.document()
