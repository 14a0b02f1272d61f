"""Tracks the instances of the fleet as an entry sees them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from loguru import logger

from ..membership import (
    FleetEffect,
    FleetView,
    MemberLost,
    MembershipTiming,
    MemberState,
    StateChanged,
)
from ..model import Instance, InstanceRole, InstanceState
from ..net import Clock
from ..net._list_client import LiveListClient
from ..routing import Router
from ..wire import SidecarReport


class FleetListener(Protocol):
    """Is called on heartbeats and losses; implemented by the job service."""

    def on_heartbeat(self, instance: str, incarnation: int) -> None:
        """Called for each heartbeat of a sidecar."""

    def instance_lost(self, instance: str, incarnation: int) -> None:
        """Called when a backend server was lost together with its running work."""


class FleetObserver:
    """Passes the instance list and heartbeats to the router and the listener.

    ``own`` returns this entry's instance, which counts as live even before the
    instance list contains it. ``listener`` is called on heartbeats and losses.
    """

    def __init__(
        self,
        live_list: LiveListClient,
        router: Router,
        clock: Clock,
        own: Callable[[], Instance],
        listener: FleetListener,
    ) -> None:
        self._live_list = live_list
        self._router = router
        self._clock = clock
        self._own = own
        self._listener = listener
        self._view = FleetView(MembershipTiming())
        self._instances: tuple[Instance, ...] = ()
        self._reports: dict[str, SidecarReport] = {}
        self._last_seen_at: dict[str, float] = {}
        self._entry_versions: dict[str, int] = {}
        self._drain_requests: set[str] = set()

    async def read_list(self) -> None:
        """Reads the instance list once and applies it."""
        self._instances = await self._live_list.instances()
        now = self._clock.monotonic()
        self._router.observe_instances(self._instances, now)
        self._handle_effects(self._view.observe_list(self._instances, now))
        listed = {instance.name for instance in self._instances}
        self._reports = {k: v for k, v in self._reports.items() if k in listed}

    def observe(self, report: SidecarReport) -> None:
        """Applies a sidecar's heartbeat; ignores one of an outdated incarnation."""
        name = report.instance.name
        now = self._clock.monotonic()
        self._handle_effects(self._view.observe_report(report, now))
        member = self._view.get(name)
        if member is None or member.incarnation != report.incarnation:
            return
        if self._router.incarnation(name) > report.incarnation:
            # The instance restarted after its wall clock had been set back. Its
            # incarnation, which comes from that clock, is lower than before.
            self._router.remove(name)
        self._reports[name] = report
        self._last_seen_at[name] = now
        self._router.observe_report(report, now)
        self._listener.on_heartbeat(report.instance.name, report.incarnation)

    def tick(self) -> None:
        """Detects backend servers whose heartbeats have timed out."""
        self._handle_effects(self._view.tick(self._clock.monotonic()))

    def observe_entry(self, name: str, config_version: int) -> None:
        """Records the configuration version that another entry reported."""
        self._entry_versions[name] = config_version

    def entry_version(self, name: str) -> int:
        """Returns the configuration version another entry last reported, or 0."""
        return self._entry_versions.get(name, 0)

    def last_seen_at(self, name: str) -> float:
        """Returns the monotonic time of a backend server's last heartbeat.

        It is minus infinity if there was none.
        """
        return self._last_seen_at.get(name, float("-inf"))

    def request_drain(self, name: str) -> None:
        """Requests a drain in the reply to a backend server's next heartbeat."""
        self._drain_requests.add(name)

    def is_drain_requested(self, name: str) -> bool:
        """Returns whether a drain was requested for a backend server."""
        return name in self._drain_requests

    def entries(self) -> Sequence[Instance]:
        """Returns the live entries by name, including this one unless it is leaving."""
        own = self._own()
        others = [
            instance
            for instance in self._instances
            if instance.role is InstanceRole.ENTRY
            and instance.state is InstanceState.LIVE
            and instance.name != own.name
        ]
        if own.state is InstanceState.LIVE:
            others.append(own)
        return sorted(others, key=lambda instance: instance.name)

    def instances(self) -> Sequence[Instance]:
        """Returns the instance list as last read."""
        return self._instances

    def reports(self) -> dict[str, SidecarReport]:
        """Returns the latest heartbeat of each backend server by name."""
        return self._reports

    def _handle_effects(self, effects: Sequence[FleetEffect]) -> None:
        for effect in effects:
            match effect:
                case MemberLost() if self._is_engine_loss(effect):
                    logger.warning("event=engine_lost instance={}", effect.name)
                case MemberLost():
                    logger.warning("event=instance_lost instance={}", effect.name)
                    self._listener.instance_lost(effect.name, effect.incarnation)
                case StateChanged():
                    logger.info(
                        "event=instance_state instance={} state={}",
                        effect.name,
                        effect.state.value,
                    )

    def _is_engine_loss(self, lost: MemberLost) -> bool:
        """Returns whether only the engine was lost, not its sidecar.

        After an engine loss the sidecar reports the items that the engine ran and
        releases the items that had not started. Reporting the whole instance as lost
        would count a crash against the released items too.
        """
        member = self._view.get(lost.name)
        if member is None or member.incarnation != lost.incarnation:
            return False
        return member.state is not MemberState.GONE and not member.engine_alive
