"""Adjusts the step-time target to the share of online tokens that come late."""

import attrs

STEP_SIZE = 0.03
MIN_SCALE = 0.5
COUNT_WEIGHT = 0.002


@attrs.define
class StepTarget:
    """Scales the between-tokens target so that a given share of gaps exceeds it.

    ``target_s`` is the between-tokens target in seconds, ``late_share`` the share of
    gaps that may exceed it, and ``max_scale`` bounds the scale. Each late gap lowers
    the scale by much more than a gap in time raises it, so that the changes balance
    at ``late_share``. A step is weighted by the number of its online streams.
    """

    target_s: float
    late_share: float
    max_scale: float = 1.0
    scale: float = attrs.field(init=False)
    _mean_streams: float = 1.0

    def __attrs_post_init__(self) -> None:
        self.scale = self.max_scale

    @property
    def step_s(self) -> float:
        """The step-time target in seconds."""
        return self.scale * self.target_s

    def observe(self, gap_s: float, streams: int) -> None:
        """Adjusts the scale after one step in which online streams produced tokens."""
        self._mean_streams += COUNT_WEIGHT * (streams - self._mean_streams)
        weight = STEP_SIZE * streams / max(1.0, self._mean_streams)
        if gap_s > self.target_s:
            change = -weight * (1.0 - self.late_share)
        else:
            change = weight * self.late_share
        scale = self.scale + change
        self.scale = min(self.max_scale, max(MIN_SCALE, scale))
