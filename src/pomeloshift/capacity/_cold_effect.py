"""The effect of a slow start, learned from all engines of a service."""

import math

import attrs

# Until measured, a cold engine is taken for half as fast, as a guess of some samples.
GUESS = 2.0
GUESS_WEIGHT = 3.0
# Samples over which the effect is averaged.
MAX_WEIGHT = 50.0


@attrs.define
class ColdEffect:
    """By how much engines of a service are slower during their slow start."""

    log_factor: float = math.log(GUESS)
    _weight: float = GUESS_WEIGHT

    def add(self, log_ratio: float) -> None:
        """Adds a measured time over the one that a warm engine would take."""
        self._weight = min(MAX_WEIGHT, self._weight + 1.0)
        self.log_factor += (log_ratio - self.log_factor) / self._weight
        self.log_factor = max(0.0, self.log_factor)
