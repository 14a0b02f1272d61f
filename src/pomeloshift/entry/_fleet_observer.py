"""What an entry knows of the instances around it."""

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
    """Who acts on heartbeats and losses; the job service is one."""

    def on_heartbeat(self, instance: str, incarnation: int) -> None:
        """Takes note that a sidecar is alive."""

    def instance_lost(self, instance: str, incarnation: int) -> None:
        """Takes note that a backend server was lost with what it ran."""


class FleetObserver:
    """Feeds the live list and the heartbeats to the router.

    ``own`` returns this entry's instance, which counts as live even while the list
    does not show it yet. ``listener`` learns of heartbeats and of losses.
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
        self._drain_orders: set[str] = set()

    async def read_list(self) -> None:
        """Reads the live list once."""
        self._instances = await self._live_list.instances()
        now = self._clock.monotonic()
        self._router.observe_instances(self._instances, now)
        self._take(self._view.observe_list(self._instances, now))
        shown = {instance.name for instance in self._instances}
        self._reports = {k: v for k, v in self._reports.items() if k in shown}

    def observe(self, report: SidecarReport) -> None:
        """Takes a heartbeat of a sidecar."""
        name = report.instance.name
        now = self._clock.monotonic()
        self._take(self._view.observe_report(report, now))
        member = self._view.get(name)
        if member is None or member.incarnation != report.incarnation:
            return
        if self._router.incarnation(name) > report.incarnation:
            # The instance restarted after its wall clock had been set back.
            self._router.forget(name)
        self._reports[name] = report
        self._last_seen_at[name] = now
        self._router.observe_report(report, now)
        self._listener.on_heartbeat(report.instance.name, report.incarnation)

    def tick(self) -> None:
        """Notices backend servers that went silent."""
        self._take(self._view.tick(self._clock.monotonic()))

    def observe_entry(self, name: str, config_version: int) -> None:
        """Takes a heartbeat of another entry."""
        self._entry_versions[name] = config_version

    def entry_version(self, name: str) -> int:
        """Returns the configuration version that another entry last named."""
        return self._entry_versions.get(name, 0)

    def last_seen_at(self, name: str) -> float:
        """Returns when a backend server's last heartbeat came."""
        return self._last_seen_at.get(name, float("-inf"))

    def order_drain(self, name: str) -> None:
        """Has a backend server told to drain with its next heartbeat."""
        self._drain_orders.add(name)

    def is_ordered_to_drain(self, name: str) -> bool:
        """Tells whether a backend server has to be told to drain."""
        return name in self._drain_orders

    def entries(self) -> Sequence[Instance]:
        """Returns the entries that are live, this one included unless it leaves."""
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
        """Returns the live list as it was read last."""
        return self._instances

    def reports(self) -> dict[str, SidecarReport]:
        """Returns the latest heartbeat of each backend server by name."""
        return self._reports

    def _take(self, effects: Sequence[FleetEffect]) -> None:
        for effect in effects:
            match effect:
                case MemberLost() if self._speaks_for_itself(effect):
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

    def _speaks_for_itself(self, lost: MemberLost) -> bool:
        """Whether only the engine was lost.

        Its sidecar then reports what the engine ran and gives back what it had not
        started; taking all of its leases for lost would strike the latter as well.
        """
        member = self._view.get(lost.name)
        if member is None or member.incarnation != lost.incarnation:
            return False
        return member.state is not MemberState.GONE and not member.engine_alive
