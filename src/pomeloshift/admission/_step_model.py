"""Learns how long an engine's steps last from the times between tokens."""

import attrs

FORGETTING = 0.998
SCALE = 32.0
MAX_GAIN_TRACE = 1e3
FIRST_VARIANCE = 10.0
EXTRA_QUANTILE = 0.9
EXTRA_STEP_S = 0.0005
MIN_SLOPE_S = 1e-6
ENOUGH_STEPS = 40
ENOUGH_SPREAD = 6


@attrs.define
class StepModel:
    """Fits step time = base + slope * sequences by recursive least squares.

    Steps during which prompts were read feed ``read_extra_s`` instead, a high quantile
    of the time that reading adds to a step. Times are in seconds.
    """

    base_s: float = 0.01
    scaled_slope_s: float = 0.01
    read_extra_s: float = 0.01
    steps: int = 0
    _p00: float = FIRST_VARIANCE
    _p01: float = 0.0
    _p11: float = FIRST_VARIANCE
    _fewest: int = 1 << 30
    _most: int = 0

    @property
    def slope_s(self) -> float:
        """The time that one more decoding sequence adds to a step."""
        return max(MIN_SLOPE_S, self.scaled_slope_s / SCALE)

    @property
    def is_fitted(self) -> bool:
        """Tells whether enough different steps were seen to trust the fit."""
        spread = self._most - self._fewest
        return self.steps >= ENOUGH_STEPS and spread >= ENOUGH_SPREAD

    def observe(self, step_s: float, sequences: int, reading: bool) -> None:
        """Learns from one step."""
        if reading:
            self._learn_extra(step_s - self.step_s(sequences))
            return
        self.steps += 1
        self._fewest = min(self._fewest, sequences)
        self._most = max(self._most, sequences)
        self._fit(step_s, sequences / SCALE)

    def step_s(self, sequences: float) -> float:
        """Predicts a step that reads no prompt."""
        return self.base_s + self.slope_s * sequences

    def sequences_within(self, step_s: float) -> float:
        """Returns how many sequences a step of that length can decode."""
        return max(0.0, (step_s - self.base_s) / self.slope_s)

    def _learn_extra(self, extra_s: float) -> None:
        if extra_s > self.read_extra_s:
            self.read_extra_s += EXTRA_STEP_S * EXTRA_QUANTILE
        else:
            self.read_extra_s -= EXTRA_STEP_S * (1.0 - EXTRA_QUANTILE)
        self.read_extra_s = max(0.0, self.read_extra_s)

    def _fit(self, step_s: float, x: float) -> None:
        along0 = self._p00 + self._p01 * x
        along1 = self._p01 + self._p11 * x
        denominator = FORGETTING + along0 + along1 * x
        gain0 = along0 / denominator
        gain1 = along1 / denominator
        error_s = step_s - (self.base_s + self.scaled_slope_s * x)
        self.base_s = max(0.0, self.base_s + gain0 * error_s)
        self.scaled_slope_s += gain1 * error_s
        p00 = (self._p00 - gain0 * along0) / FORGETTING
        p01 = (self._p01 - gain0 * along1) / FORGETTING
        p11 = (self._p11 - gain1 * along1) / FORGETTING
        if p00 + p11 <= MAX_GAIN_TRACE:
            self._p00, self._p01, self._p11 = p00, p01, p11
