"""The usual times of a service's engines at each occupancy."""

import math

import attrs

from ._log_line import LogLine

# Samples that a first guess counts for.
GUESS_WEIGHT = 2.0
# From an empty engine to a full one, a time doubles until measured.
GUESSED_SLOPE = 0.7
SLOPE_GUESS_WEIGHT = 1.0
# Samples over which the level of a service is averaged: some for each of 30 engines.
MAX_WEIGHT = 200.0
MIN_ENGINE_WEIGHT = 3.0


@attrs.define
class ServiceCurve:
    """The mean of a time over a service's engines, as a line like `LogLine`.

    The slope is learned from samples of the same engine only: slow engines are given
    less work, so that between engines a low occupancy goes with long times.
    """

    level: float
    slope: float = GUESSED_SLOPE
    _weight: float = GUESS_WEIGHT
    _xx: float = 0.0
    _xy: float = 0.0

    def add(self, x: float, y: float, engine: LogLine) -> None:
        """Adds a sample of an engine, which holds its earlier samples."""
        self._weight = min(MAX_WEIGHT, self._weight + 1.0)
        self.level += (y - self.slope * x - self.level) / self._weight
        if engine.weight < MIN_ENGINE_WEIGHT:
            return
        mean_x, mean_y = engine.means
        kept = 1.0 - 1.0 / MAX_WEIGHT
        self._xx = self._xx * kept + (x - mean_x) ** 2
        self._xy = self._xy * kept + (x - mean_x) * (y - mean_y)
        # The prior keeps its weight, because occupancies may hardly differ.
        total = self._xx + SLOPE_GUESS_WEIGHT
        self.slope = max(0.0, (self._xy + SLOPE_GUESS_WEIGHT * GUESSED_SLOPE) / total)

    @property
    def line(self) -> tuple[float, float]:
        """The level and the slope."""
        return self.level, self.slope

    @classmethod
    def of(cls, time_s: float) -> "ServiceCurve":
        """Returns a curve with a first guess of the time at half of the slots."""
        return cls(math.log(time_s))
