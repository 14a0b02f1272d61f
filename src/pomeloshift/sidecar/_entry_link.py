"""The heartbeats between a sidecar and one entry."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from ..errors import PomeloshiftError
from ..model import Instance
from ..net._control_client import ControlClient
from ..wire import Acknowledgement, ConfigDocument, ConfigPull, SidecarReport

HEARTBEAT_TIMEOUT_S = 1.5


class EntryLink:
    """Reports to one entry and fetches a newer configuration from it."""

    def __init__(
        self,
        entry: Instance,
        control: ControlClient,
        report: Callable[[], SidecarReport],
        offer_config: Callable[[ConfigDocument], None],
        drain: Callable[[], None],
    ) -> None:
        self.entry = entry
        self._control = control
        self._report = report
        self._offer_config = offer_config
        self._drain = drain
        self._busy = False
        self._again = False

    def beat(self) -> None:
        """Sends a heartbeat, or one more after that which is on its way."""
        if self._busy:
            self._again = True
            return
        self._busy = True
        beating = Deferred.fromCoroutine(self._beat())
        beating.addErrback(self._log_failure)
        beating.addBoth(self._after_beat)

    async def _beat(self) -> None:
        report = self._report()
        answer = await self._ask(report)
        if not isinstance(answer, Acknowledgement):
            return
        if answer.drain:
            self._drain()
        if answer.config_version > report.config_version:
            document = await self._ask(ConfigPull(report.config_version))
            if isinstance(document, ConfigDocument) and document.document:
                self._offer_config(document)

    async def _ask(self, message: Any) -> Any:
        url = self.entry.control_address
        return await self._control.ask(url, message, HEARTBEAT_TIMEOUT_S)

    def _after_beat(self, _: Any) -> None:
        self._busy = False
        if self._again:
            self._again = False
            self.beat()

    def _log_failure(self, failure: Any) -> None:
        if failure.check(PomeloshiftError):
            logger.warning(
                "event=heartbeat_failed entry={} code={}",
                self.entry.name,
                failure.value.code.value,
            )
        else:
            logger.error("event=heartbeat_failure error={!r}", failure.value)
