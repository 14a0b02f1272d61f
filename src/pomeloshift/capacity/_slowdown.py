"""The slowdown that an engine reports, smoothed and weighted by its age."""

import math

import attrs

# The figure changes many times a second: a report is averaged with those of this time.
SMOOTH_S = 0.15
# Without reports the estimate returns to the long-term mean within this time.
VALID_S = 0.6
MEAN_S = 10.0


@attrs.define
class Slowdown:
    """Follows the logarithm of the reported slowdown.

    slowdown.note(5.0, now=1.0)
    slowdown.log_at(now=1.1)  # about log(5)
    """

    _recent: float = 0.0
    _mean: float = 0.0
    _at: float = float("-inf")

    @property
    def is_reported(self) -> bool:
        """Whether the engine has reported the figure."""
        return self._at > float("-inf")

    def note(self, slowdown: float, now: float) -> None:
        """Records a report; 1.0 is the usual speed."""
        value = math.log(slowdown)
        if not self.is_reported:
            self._recent = self._mean = value
            self._at = now
            return
        passed_s = max(0.0, now - self._at)
        # Reports that arrive together count once each, but not for nothing.
        recent = max(0.2, 1.0 - math.exp(-passed_s / SMOOTH_S))
        self._recent += recent * (value - self._recent)
        mean = max(0.01, 1.0 - math.exp(-passed_s / MEAN_S))
        self._mean += mean * (value - self._mean)
        self._at = max(self._at, now)

    def at(self, now: float) -> float:
        """Returns the expected slowdown, 1 if none was reported."""
        return math.exp(self.log_at(now))

    def log_at(self, now: float) -> float:
        """Returns the logarithm of the expected slowdown, 0 if none was reported."""
        if not self.is_reported:
            return 0.0
        kept = math.exp(-max(0.0, now - self._at) / VALID_S)
        return self._mean + kept * (self._recent - self._mean)
