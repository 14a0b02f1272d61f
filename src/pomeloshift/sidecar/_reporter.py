"""Sends a sidecar's heartbeats to entries and pulls newer configurations."""

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
    """The I/O layer of `HeartbeatSender`.

    ``make_report`` returns the sidecar's state, ``offer_config`` receives pulled
    configurations, and ``drain`` is called when an entry's acknowledgement requests
    a drain.
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
        """Applies a new reading of the instance list."""
        now = self._clock.monotonic()
        self._execute(self._sender.observe_list(instances, now))
        urls = [entry.control_address for entry in self._sender.entries]
        self._control.retain(urls)

    def tick(self) -> None:
        """Sends the heartbeats that are due."""
        self._execute(self._sender.tick(self._clock.monotonic()))

    def changed(self, urgent: bool = False) -> None:
        """Called when the sidecar's state changed; schedules a heartbeat."""
        now = self._clock.monotonic()
        self._execute(self._sender.state_changed(now, urgent))

    def entries(self) -> list[Instance]:
        """Returns the live entries that receive heartbeats, nearest first."""
        live = [e for e in self._sender.entries if e.state is InstanceState.LIVE]
        return sorted(live, key=self._distance)

    def _distance(self, entry: Instance) -> int:
        if entry.place == self._place:
            return 0
        return 1 if entry.place.region == self._place.region else 2

    def _execute(self, effects: Sequence[HeartbeatEffect]) -> None:
        for effect in effects:
            match effect:
                case SendReport():
                    spawn(self._send(effect.entry))
                case PullConfig():
                    spawn(self._pull(effect.entry, effect.have_version))

    async def _send(self, entry: Instance) -> None:
        reply = None
        try:
            report = self._make_report()
            reply = await self._ask(entry, report)
        finally:
            # The sender waits for the outcome, so unexpected errors count as failures
            # too.
            now = self._clock.monotonic()
            if not isinstance(reply, Acknowledgement):
                self._execute(self._sender.failed(entry.name, now))
        if not isinstance(reply, Acknowledgement):
            return
        if reply.drain:
            self._drain()
        effects = self._sender.answered(
            entry.name, reply.config_version, report.config_version, now
        )
        self._execute(effects)

    async def _pull(self, entry: Instance, have_version: int) -> None:
        own = self._make_report().instance
        pull = ConfigPull(have_version, own.service, own.name)
        document = await self._ask(entry, pull)
        if isinstance(document, ConfigDocument) and document.document:
            self._offer_config(document)

    async def _ask(self, entry: Instance, message: Any) -> Any:
        try:
            return await self._control.request(
                entry.control_address, message, ASK_TIMEOUT_S
            )
        except PomeloshiftError as exc:
            logger.warning(
                "event=heartbeat_failed entry={} code={}", entry.name, exc.code.value
            )
            return None
