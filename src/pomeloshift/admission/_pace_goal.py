"""Steers the step time aimed for by how often online tokens come late."""

import attrs

STEP_SIZE = 0.03
LOWEST_SCALE = 0.5
COUNT_SHARE = 0.002


@attrs.define
class PaceGoal:
    """Tracks the scale of the target at which a fixed share of gaps exceed it.

    ``late_share`` is that share, and ``highest_scale`` bounds the scale. A late gap
    lowers the scale much and one in time raises it a little, so that both balance at
    the share. Steps count by the number of online streams that see them.
    """

    target_s: float
    late_share: float
    highest_scale: float = 1.0
    scale: float = attrs.field(init=False)
    _mean_streams: float = 1.0

    def __attrs_post_init__(self) -> None:
        self.scale = self.highest_scale

    @property
    def goal_s(self) -> float:
        """The step time to aim for, in seconds."""
        return self.scale * self.target_s

    def observe(self, gap_s: float, streams: int) -> None:
        """Learns from one step in which online streams produced tokens."""
        self._mean_streams += COUNT_SHARE * (streams - self._mean_streams)
        weight = STEP_SIZE * streams / max(1.0, self._mean_streams)
        if gap_s > self.target_s:
            change = -weight * (1.0 - self.late_share)
        else:
            change = weight * self.late_share
        scale = self.scale + change
        self.scale = min(self.highest_scale, max(LOWEST_SCALE, scale))
