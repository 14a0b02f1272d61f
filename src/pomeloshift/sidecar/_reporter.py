"""Sends a sidecar's heartbeats to entries and takes newer configurations."""

from collections.abc import Callable, Sequence
from typing import Any

from loguru import logger

from ..errors import PomeloshiftError
from ..membership import HeartbeatEffect, HeartbeatSender, PullConfig, SendReport
from ..model import Instance, InstanceState, Place
from ..net import Clock
from ..net._control_client import ControlClient
from ..net._periodic_tasks import spawn
from ..wire import Acknowledgement, ConfigDocument, ConfigPull, SidecarReport

ASK_TIMEOUT_S = 1.5


class Reporter:
    """Carries out what `HeartbeatSender` plans.

    ``make_report`` returns the present state, ``offer_config`` takes a newer
    configuration, and ``drain`` is called when an entry passes on that order.
    """

    def __init__(
        self,
        place: Place,
        sender: HeartbeatSender,
        control: ControlClient,
        clock: Clock,
        make_report: Callable[[], SidecarReport],
        offer_config: Callable[[ConfigDocument], None],
        drain: Callable[[], None],
    ) -> None:
        self._place = place
        self._sender = sender
        self._control = control
        self._clock = clock
        self._make_report = make_report
        self._offer_config = offer_config
        self._drain = drain

    def observe_list(self, instances: Sequence[Instance]) -> None:
        """Takes the live list as it was just read."""
        now = self._clock.monotonic()
        self._carry_out(self._sender.observe_list(instances, now))
        urls = [entry.control_address for entry in self._sender.entries]
        self._control.retain(urls)

    def tick(self) -> None:
        """Sends the reports that are due."""
        self._carry_out(self._sender.tick(self._clock.monotonic()))

    def changed(self, urgent: bool = False) -> None:
        """Notes that the state to report has changed."""
        now = self._clock.monotonic()
        self._carry_out(self._sender.state_changed(now, urgent))

    def entries(self) -> list[Instance]:
        """Returns the live entries that are reported to, the nearest first."""
        live = [e for e in self._sender.entries if e.state is InstanceState.LIVE]
        return sorted(live, key=self._distance)

    def _distance(self, entry: Instance) -> int:
        if entry.place == self._place:
            return 0
        return 1 if entry.place.region == self._place.region else 2

    def _carry_out(self, effects: Sequence[HeartbeatEffect]) -> None:
        for effect in effects:
            match effect:
                case SendReport():
                    spawn(self._send(effect.entry))
                case PullConfig():
                    spawn(self._pull(effect.entry, effect.have_version))

    async def _send(self, entry: Instance) -> None:
        answer = None
        try:
            report = self._make_report()
            answer = await self._ask(entry, report)
        finally:
            # Also after an unexpected error: the sender waits for an outcome.
            now = self._clock.monotonic()
            if not isinstance(answer, Acknowledgement):
                self._carry_out(self._sender.failed(entry.name, now))
        if not isinstance(answer, Acknowledgement):
            return
        if answer.drain:
            self._drain()
        effects = self._sender.answered(
            entry.name, answer.config_version, report.config_version, now
        )
        self._carry_out(effects)

    async def _pull(self, entry: Instance, have_version: int) -> None:
        own = self._make_report().instance
        pull = ConfigPull(have_version, own.service, own.name)
        document = await self._ask(entry, pull)
        if isinstance(document, ConfigDocument) and document.document:
            self._offer_config(document)

    async def _ask(self, entry: Instance, message: Any) -> Any:
        try:
            return await self._control.ask(
                entry.control_address, message, ASK_TIMEOUT_S
            )
        except PomeloshiftError as exc:
            logger.warning(
                "event=heartbeat_failed entry={} code={}", entry.name, exc.code.value
            )
            return None
