"""What is known of one backend server."""

from enum import Enum

import attrs

from ..model import Instance, InstanceState
from ..wire import SidecarReport

NEVER = float("-inf")


class MemberState(Enum):
    """Whether a member may be given work.

    ``SUSPECT`` members have been silent or have failed a connection and get work
    only where nothing else is left; ``LEAVING`` and ``GONE`` members get none.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.define
class Member:
    """A backend server with the signs of life that were seen of it.

    ``failed_at`` is the time of the last failed connection that no sign of life
    has followed.
    """

    instance: Instance
    incarnation: int = 0
    sequence: int = 0
    last_seen_at: float = NEVER
    listed_at: float = NEVER
    failed_at: float = NEVER
    draining: bool = False
    engine_alive: bool = True
    listed_leaving: bool = False
    state: MemberState = MemberState.LIVE
    running: tuple[str, ...] = ()
    config_version: int = 0

    @property
    def has_reported(self) -> bool:
        """Whether any heartbeat of it was ever received."""
        return self.last_seen_at != NEVER

    @property
    def is_leaving(self) -> bool:
        """Whether it said itself, or the list says, that it leaves."""
        return self.draining or self.listed_leaving

    def take_report(self, report: SidecarReport, now: float) -> None:
        """Takes a heartbeat that is newer than all before it."""
        restarted = report.incarnation != self.incarnation
        if restarted:
            self.draining = False
            self.listed_leaving = False
        self.instance = report.instance
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.draining = self.draining or report.draining
        self.engine_alive = report.engine_alive
        self.running = report.running
        self.config_version = report.config_version
        self.mark_seen(now)

    def mark_seen(self, now: float) -> None:
        """Notes a sign of life."""
        self.last_seen_at = now
        self.failed_at = NEVER

    def take_listing(self, instance: Instance, now: float) -> None:
        """Takes the list's entry of it."""
        self.listed_at = now
        self.listed_leaving = instance.state is InstanceState.LEAVING
        if not self.has_reported:
            self.instance = instance
