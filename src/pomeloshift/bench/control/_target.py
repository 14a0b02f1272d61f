"""The target size of a deployment."""

import attrs

from ...membership import HeartbeatTiming

SECONDS_PER_DAY = 86_400


@attrs.frozen
class Target:
    """Sizes of the fleet and of its load.

    The fields ``node_core_share``, ``node_resident_bytes`` and ``node_bytes_per_s``
    are the budget of a node for control work.
    """

    nodes: int = 2_300
    engines: int = 10_000
    requests_per_s: float = 57_000.0
    tokens_per_s: float = 12e6
    items_per_day: float = 51e6
    jobs_per_day: float = 9_300.0
    largest_job: int = 88_000
    workspaces: int = 250
    services: int = 3
    regions: int = 7
    availability_zones: int = 21
    changes_per_day: float = 50_000.0
    change_limit_s: float = 18.0
    node_core_share: float = 0.012
    node_resident_bytes: float = 64e6
    node_bytes_per_s: float = 23e3
    log_appends_per_s: float = 300.0
    peak_factor: float = 3.0
    heartbeat_s: float = HeartbeatTiming().idle_interval_s
    heartbeat_fan_out: int = HeartbeatTiming().fan_out
    list_s: float = 0.5
    partitions: int = 64
    entry_core_share: float = 0.6

    @property
    def changes_per_s(self) -> float:
        """Configuration changes a second on average."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def items_per_s(self) -> float:
        """Batch items a second at the peak."""
        return self.peak_factor * self.items_per_day / SECONDS_PER_DAY
