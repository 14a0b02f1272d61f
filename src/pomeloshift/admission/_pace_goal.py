"""Steers the step time aimed for by how often online tokens come late."""

import attrs

STEP_SIZE = 0.05
LOWEST_SCALE = 0.5
HIGHEST_SCALE = 1.0
FIRST_SCALE = 0.8


@attrs.define
class PaceGoal:
    """Tracks the scale of the target at which a fixed share of gaps exceed it.

    ``late_share`` is that share. A late gap lowers the scale much and one in time
    raises it a little, so that both balance at the share.
    """

    target_s: float
    late_share: float
    scale: float = FIRST_SCALE

    @property
    def goal_s(self) -> float:
        """The step time to aim for, in seconds."""
        return self.scale * self.target_s

    def observe(self, gap_s: float) -> None:
        """Learns from one step in which online streams produced tokens."""
        if gap_s > self.target_s:
            change = -STEP_SIZE * (1.0 - self.late_share)
        else:
            change = STEP_SIZE * self.late_share
        self.scale = min(HIGHEST_SCALE, max(LOWEST_SCALE, self.scale + change))
