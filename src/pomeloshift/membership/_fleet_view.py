"""Merges the live list, heartbeats and failures into one view of the fleet."""

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
    """The backend servers as one entry knows them.

    A backend server's own word goes before the list's, because the list lags: a
    heartbeat makes it live, or leaving, at once. Silence after heartbeats makes it
    suspect and then lost, whatever the list shows. Heartbeats that arrive out of
    order or come from an earlier incarnation are ignored.

        view = FleetView(MembershipTiming())
        effects = view.observe_report(report, now)
        effects += view.tick(now)
    """

    def __init__(self, timing: MembershipTiming, config_version: int = 0) -> None:
        self._timing = timing
        self._members: dict[str, Member] = {}
        self.config_version = config_version

    def get(self, name: str) -> Member | None:
        """Returns a member by its name."""
        return self._members.get(name)

    def names(self, *states: MemberState) -> tuple[str, ...]:
        """Returns the names of the members in any of the states, sorted."""
        members = self._members.items()
        return tuple(sorted(name for name, m in members if m.state in states))

    def observe_list(
        self, instances: Iterable[Instance], now: float
    ) -> list[FleetEffect]:
        """Takes the list as it was just read."""
        effects: list[FleetEffect] = []
        for instance in instances:
            if instance.role is InstanceRole.BACKEND_SERVER:
                effects += self._take_listing(instance, now)
        return effects + self.tick(now)

    def observe_report(self, report: SidecarReport, now: float) -> list[FleetEffect]:
        """Takes a heartbeat."""
        name = report.instance.name
        member = self._members.get(name)
        if member is not None and self._is_old(report, member):
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
            effects.append(_lost(member, report.running))
        member.take_report(report, now)
        if report.config_version > self.config_version:
            effects.append(NewerConfigSeen(name, report.config_version))
        return effects + self._settle(member, now)

    def observe_answer(self, name: str, now: float) -> list[FleetEffect]:
        """Takes any other sign of life, such as a frame of an attempt."""
        member = self._members.get(name)
        if member is None or member.state is MemberState.GONE:
            return []
        member.mark_seen(now)
        return self._settle(member, now)

    def observe_failure(self, name: str, now: float) -> list[FleetEffect]:
        """Takes a connection that failed or went silent."""
        member = self._members.get(name)
        if member is None:
            return []
        member.failed_at = now
        return self._settle(member, now)

    def tick(self, now: float) -> list[FleetEffect]:
        """Notices silence; to be called a few times within the suspicion time."""
        effects: list[FleetEffect] = []
        for member in list(self._members.values()):
            effects += self._settle(member, now)
        self._forget(now)
        return effects

    def _is_old(self, report: SidecarReport, member: Member) -> bool:
        if report.incarnation == member.incarnation:
            return report.sequence <= member.sequence
        if member.state is MemberState.GONE:
            # A restart after the wall clock was set back has a lower incarnation.
            return False
        return report.incarnation < member.incarnation

    def _replace(self, member: Member, report: SidecarReport) -> list[FleetEffect]:
        effects: list[FleetEffect] = []
        if member.state is not MemberState.GONE:
            effects.append(_end(member))
        effects.append(MemberFound(report.instance, report.incarnation))
        member.engine_alive = True
        return effects

    def _take_listing(self, instance: Instance, now: float) -> list[FleetEffect]:
        member = self._members.get(instance.name)
        if member is None:
            member = self._members[instance.name] = Member(instance)
            member.take_listing(instance, now)
            return [MemberFound(instance, 0)]
        member.take_listing(instance, now)
        return []

    def _settle(self, member: Member, now: float) -> list[FleetEffect]:
        state = self._judge(member, now)
        if state is member.state:
            return []
        was = member.state
        member.state = state
        name = member.instance.name
        effects: list[FleetEffect] = [StateChanged(name, state)]
        if state is MemberState.GONE and was is not MemberState.GONE:
            effects.append(_end(member))
        return effects

    def _judge(self, member: Member, now: float) -> MemberState:
        timing = self._timing
        quiet_since = member.last_seen_at if member.has_reported else member.listed_at
        quiet_s = now - quiet_since
        if quiet_s > timing.lost_after_s:
            return MemberState.GONE
        if member.is_leaving:
            return MemberState.LEAVING
        failed = member.failed_at > quiet_since
        quiet = member.has_reported and quiet_s > timing.suspect_after_s
        if failed or quiet or not member.engine_alive:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def _forget(self, now: float) -> None:
        """Drops members that are gone and that the list shows no more."""
        oldest = now - self._timing.lost_after_s
        for name in self.names(MemberState.GONE):
            if self._members[name].listed_at < oldest:
                del self._members[name]


def _end(member: Member) -> MemberLost | MemberLeft:
    if member.is_leaving:
        return MemberLeft(member.instance.name, member.incarnation)
    return _lost(member, member.running)


def _lost(member: Member, running: tuple[str, ...]) -> MemberLost:
    return MemberLost(member.instance.name, member.incarnation, running)
