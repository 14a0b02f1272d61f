"""The state of one backend server as an entry sees it."""

from enum import Enum

import attrs

from ..model import Instance, InstanceState
from ..wire import SidecarReport

NEVER = float("-inf")


class MemberState(Enum):
    """Whether a member may be given work.

    ``SUSPECT`` members are unresponsive, had a failed connection or have a dead
    engine, and get work only if no other member is available. ``LEAVING`` and
    ``GONE`` members get none.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.define
class Member:
    """A backend server with the times at which it was last seen and listed.

    Times are in seconds on the monotonic clock. ``failed_at`` is the time of the last
    failed connection, or ``NEVER`` if the member was seen after it.
    """

    instance: Instance
    incarnation: int = 0
    sequence: int = 0
    last_seen_at: float = NEVER
    listed_at: float = NEVER
    failed_at: float = NEVER
    is_draining: bool = False
    engine_alive: bool = True
    is_listed_as_leaving: bool = False
    state: MemberState = MemberState.LIVE
    running: tuple[str, ...] = ()
    config_version: int = 0

    @property
    def has_reported(self) -> bool:
        """Whether the member was ever seen, rather than only listed."""
        return self.last_seen_at != NEVER

    @property
    def is_leaving(self) -> bool:
        """Whether the member leaves, by its own report or by the instance list."""
        return self.is_draining or self.is_listed_as_leaving

    def apply_report(self, report: SidecarReport, now: float) -> None:
        """Applies a heartbeat that is newer than all earlier ones."""
        restarted = report.incarnation != self.incarnation
        if restarted:
            self.is_draining = False
            self.is_listed_as_leaving = False
        self.instance = report.instance
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.is_draining = self.is_draining or report.draining
        self.engine_alive = report.engine_alive
        self.running = report.running
        self.config_version = report.config_version
        self.mark_seen(now)

    def mark_seen(self, now: float) -> None:
        """Records a heartbeat or a response as evidence of liveness."""
        self.last_seen_at = now
        self.failed_at = NEVER

    def apply_listing(self, instance: Instance, now: float) -> None:
        """Applies the member's record in the instance list."""
        self.listed_at = now
        self.is_listed_as_leaving = instance.state is InstanceState.LEAVING
        if not self.has_reported:
            self.instance = instance
