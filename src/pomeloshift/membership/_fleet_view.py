"""Merges the instance list, heartbeats and failures into one view of the fleet."""

from collections.abc import Iterable

from ..model import Instance, InstanceRole
from ..wire import SidecarReport
from ._fleet_messages import (
    FleetEffect,
    MemberFound,
    MemberLeft,
    MemberLost,
    NewerConfigSeen,
    StateChanged,
)
from ._member import Member, MemberState
from ._timing import MembershipTiming


class FleetView:
    """The backend servers as one entry sees them.

    Heartbeats take precedence over the instance list, because the list lags: a
    heartbeat makes a member live, or leaving, at once. A member whose heartbeats
    stop becomes unresponsive and then lost, whatever the list shows. Heartbeats that
    arrive out of order or come from an earlier incarnation are ignored.

        view = FleetView(MembershipTiming())
        effects = view.observe_report(report, now)
        effects += view.tick(now)
    """

    def __init__(self, timing: MembershipTiming, config_version: int = 0) -> None:
        self._timing = timing
        self._members: dict[str, Member] = {}
        self.config_version = config_version

    def get(self, name: str) -> Member | None:
        """Returns the member of that name, or `None`."""
        return self._members.get(name)

    def names(self, *states: MemberState) -> tuple[str, ...]:
        """Returns the names of the members in any of the states, sorted."""
        members = self._members.items()
        return tuple(sorted(name for name, m in members if m.state in states))

    def observe_list(
        self, instances: Iterable[Instance], now: float
    ) -> list[FleetEffect]:
        """Applies the instance list that was just read."""
        effects: list[FleetEffect] = []
        for instance in instances:
            if instance.role is InstanceRole.BACKEND_SERVER:
                effects += self._observe_listing(instance, now)
        return effects + self.tick(now)

    def observe_report(self, report: SidecarReport, now: float) -> list[FleetEffect]:
        """Applies a heartbeat unless it is outdated."""
        name = report.instance.name
        member = self._members.get(name)
        if member is not None and self._is_outdated(report, member):
            return []
        effects: list[FleetEffect] = []
        if member is None:
            member = self._members[name] = Member(report.instance)
            effects.append(MemberFound(report.instance, report.incarnation))
        elif member.has_reported and member.incarnation != report.incarnation:
            effects += self._replace(member, report)
        elif member.state is MemberState.GONE:
            effects.append(MemberFound(report.instance, report.incarnation))
        elif member.engine_alive and not report.engine_alive:
            effects.append(_lost_effect(member, report.running))
        member.apply_report(report, now)
        if report.config_version > self.config_version:
            effects.append(NewerConfigSeen(name, report.config_version))
        return effects + self._update_state(member, now)

    def observe_response(self, name: str, now: float) -> list[FleetEffect]:
        """Called when a member sent anything but a heartbeat, such as a frame."""
        member = self._members.get(name)
        if member is None or member.state is MemberState.GONE:
            return []
        member.mark_seen(now)
        return self._update_state(member, now)

    def observe_failure(self, name: str, now: float) -> list[FleetEffect]:
        """Called when a connection to a member failed or timed out."""
        member = self._members.get(name)
        if member is None:
            return []
        member.failed_at = now
        return self._update_state(member, now)

    def tick(self, now: float) -> list[FleetEffect]:
        """Detects unresponsive members.

        The owner calls it several times within ``suspect_after_s``.
        """
        effects: list[FleetEffect] = []
        for member in list(self._members.values()):
            effects += self._update_state(member, now)
        self._evict_gone(now)
        return effects

    def _is_outdated(self, report: SidecarReport, member: Member) -> bool:
        if report.incarnation == member.incarnation:
            return report.sequence <= member.sequence
        if member.state is MemberState.GONE:
            # After a restart the incarnation is lower if the wall clock was set back.
            return False
        return report.incarnation < member.incarnation

    def _replace(self, member: Member, report: SidecarReport) -> list[FleetEffect]:
        effects: list[FleetEffect] = []
        if member.state is not MemberState.GONE:
            effects.append(_end_effect(member))
        effects.append(MemberFound(report.instance, report.incarnation))
        member.engine_alive = True
        return effects

    def _observe_listing(self, instance: Instance, now: float) -> list[FleetEffect]:
        member = self._members.get(instance.name)
        if member is None:
            member = self._members[instance.name] = Member(instance)
            member.apply_listing(instance, now)
            return [MemberFound(instance, 0)]
        member.apply_listing(instance, now)
        return []

    def _update_state(self, member: Member, now: float) -> list[FleetEffect]:
        state = self._next_state(member, now)
        if state is member.state:
            return []
        previous = member.state
        member.state = state
        name = member.instance.name
        effects: list[FleetEffect] = [StateChanged(name, state)]
        if state is MemberState.GONE and previous is not MemberState.GONE:
            effects.append(_end_effect(member))
        return effects

    def _next_state(self, member: Member, now: float) -> MemberState:
        timing = self._timing
        seen_at = member.last_seen_at if member.has_reported else member.listed_at
        unseen_s = now - seen_at
        if unseen_s > timing.lost_after_s:
            return MemberState.GONE
        if member.is_leaving:
            return MemberState.LEAVING
        has_failed = member.failed_at > seen_at
        is_unresponsive = member.has_reported and unseen_s > timing.suspect_after_s
        if has_failed or is_unresponsive or not member.engine_alive:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def _evict_gone(self, now: float) -> None:
        """Removes members that are gone and that the list no longer shows."""
        oldest = now - self._timing.lost_after_s
        for name in self.names(MemberState.GONE):
            if self._members[name].listed_at < oldest:
                del self._members[name]


def _end_effect(member: Member) -> MemberLost | MemberLeft:
    if member.is_leaving:
        return MemberLeft(member.instance.name, member.incarnation)
    return _lost_effect(member, member.running)


def _lost_effect(member: Member, running: tuple[str, ...]) -> MemberLost:
    return MemberLost(member.instance.name, member.incarnation, running)
