"""A line that follows the logarithm of a measured time against the occupancy."""

import math

import attrs

# Weights of the prior line, in samples: of its value in the middle, and of its slope.
LEVEL_PRIOR = 1.0
SLOPE_PRIOR = 2.0


@attrs.define
class LogLine:
    """Fits log(time) = level + slope * x to samples, of which recent ones count more.

    ``x`` is the occupancy as a share of the slots, less a half, so that the level is
    the value at half of the slots. A sample's weight falls to 1/e within ``forget_s``
    seconds, and all samples together weigh at most ``max_weight``, so that a change is
    followed within that many samples. The fit is drawn to a prior line, which holds
    where there are few samples.

        line = LogLine(forget_s=1.5, max_weight=8.0)
        line.add(0.1, math.log(0.2), now=1.0)
        level, slope = line.fit((math.log(0.1), 0.7), now=1.2)
    """

    forget_s: float
    max_weight: float
    weight: float = 0.0
    _at: float = float("-inf")
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0

    def add(self, x: float, y: float, now: float, weight: float = 1.0) -> None:
        """Adds a sample: ``y`` is the logarithm of the time in seconds."""
        kept = self.weight_at(now) + weight
        scale = self._decay(now) * min(1.0, self.max_weight / kept)
        self._at = now
        added = weight * min(1.0, self.max_weight / kept)
        self.weight = self.weight * scale + added
        self._x = self._x * scale + added * x
        self._y = self._y * scale + added * y
        self._xx = self._xx * scale + added * x * x
        self._xy = self._xy * scale + added * x * y

    def weight_at(self, now: float) -> float:
        """Returns the weight of all samples, in samples of no age."""
        return self.weight * self._decay(now) if self.weight > 0 else 0.0

    def fit(self, prior: tuple[float, float], now: float) -> tuple[float, float]:
        """Returns level and slope, drawn to a prior level and slope."""
        if self.weight <= 0:
            return prior
        kept = self._decay(now)
        level_0, slope_0 = prior
        # Normal equations of least squares for the difference to the prior line.
        n = self.weight * kept + LEVEL_PRIOR
        x, xx = self._x * kept, self._xx * kept + SLOPE_PRIOR
        y = kept * (self._y - level_0 * self.weight - slope_0 * self._x)
        xy = kept * (self._xy - level_0 * self._x - slope_0 * self._xx)
        det = n * xx - x * x
        return level_0 + (y * xx - xy * x) / det, slope_0 + (xy * n - y * x) / det

    @property
    def means(self) -> tuple[float, float]:
        """The means of ``x`` and ``y`` of the samples; there has to be one."""
        return self._x / self.weight, self._y / self.weight

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._at) / self.forget_s)
