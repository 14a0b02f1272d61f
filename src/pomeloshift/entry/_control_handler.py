"""Handles the control messages that sidecars and other entries send."""

from collections.abc import Awaitable, Callable
from typing import Any

from ..errors import ErrorCode, PomeloshiftError, Ran
from ..wire import (
    Acknowledgement,
    ConfigPull,
    EntryReport,
    ItemPull,
    ItemResults,
    LeaseRelease,
    SidecarReport,
)
from ._fleet_observer import FleetObserver
from .batch import JobService
from .config import ConfigService


class UnexpectedMessageError(PomeloshiftError):
    """A peer sent a control message of a type that entries do not handle."""

    code = ErrorCode.PROTOCOL_ERROR
    ran = Ran.NO


class ControlHandler:
    """Routes each control message to the part of the entry that serves it.

    ``observe_peer`` is called with the heartbeats of other entries.
    """

    def __init__(
        self,
        name: str,
        config: ConfigService,
        jobs: JobService,
        fleet: FleetObserver,
        observe_peer: Callable[[EntryReport], None],
    ) -> None:
        self._name = name
        self._config = config
        self._jobs = jobs
        self._fleet = fleet
        self._observe_peer = observe_peer
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            SidecarReport: self._handle_report,
            EntryReport: self._handle_entry_report,
            ConfigPull: self._config_document,
            ItemPull: jobs.pull,
            ItemResults: jobs.results,
            LeaseRelease: jobs.release,
        }

    async def handle(self, message: Any) -> Any:
        """Returns the reply to a message; raises `UnexpectedMessageError`."""
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise UnexpectedMessageError(
                f"an entry does not handle messages of type {name}"
            )
        return await handler(message)

    async def _handle_report(self, report: SidecarReport) -> Acknowledgement:
        self._fleet.observe(report)
        drain = self._fleet.is_drain_requested(report.instance.name)
        return Acknowledgement(self._config.version, self._name, drain=drain)

    async def _handle_entry_report(self, report: EntryReport) -> Acknowledgement:
        self._fleet.observe_entry(report.entry, report.config_version)
        self._config.observe_version(report.entry, report.config_version)
        self._observe_peer(report)
        return Acknowledgement(self._config.version, self._name)

    async def _config_document(self, pull: ConfigPull) -> Any:
        if pull.service:
            return self._config.document_for(pull.service, pull.instance)
        return self._config.document()
