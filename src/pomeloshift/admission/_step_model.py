"""Learns how long an engine's steps last from the times between tokens."""

import attrs

from ._least_squares import LeastSquares

SCALE = 32.0
EXTRA_QUANTILE = 0.9
EXTRA_STEP_S = 0.0005
FIRST_BASE_S = 0.01
FIRST_SCALED_SLOPE_S = 0.01
FIRST_EXTRA_S = 0.01
MIN_SLOPE_S = 1e-6
ENOUGH_STEPS = 40
ENOUGH_SPREAD = 6


@attrs.define
class Fit:
    """A fit with how many and how different steps it has seen."""

    squares: LeastSquares = attrs.field(
        factory=lambda: LeastSquares(
            (FIRST_BASE_S, FIRST_SCALED_SLOPE_S, FIRST_EXTRA_S)
        )
    )
    steps: int = 0
    fewest: int = 1 << 30
    most: int = 0

    @property
    def is_trusted(self) -> bool:
        """Tells whether the steps differ enough to tell base and slope apart."""
        return self.steps >= ENOUGH_STEPS and self.most - self.fewest >= ENOUGH_SPREAD

    def observe(self, step_s: float, sequences: int, reading: bool) -> None:
        """Learns from one step."""
        self.steps += 1
        self.fewest = min(self.fewest, sequences)
        self.most = max(self.most, sequences)
        self.squares.observe((1.0, sequences / SCALE, float(reading)), step_s)


@attrs.define
class StepModel:
    """Fits step time = base + slope * sequences + extra if a prompt is read.

    Base and slope come from steps that read no prompt as soon as there are enough of
    them, since how much of a prompt a step reads cannot be seen. ``read_extra_s`` is
    a high quantile of what reading adds to a step. Times are in seconds.
    """

    read_extra_s: float = FIRST_EXTRA_S
    _plain: Fit = attrs.field(factory=Fit)
    _all: Fit = attrs.field(factory=Fit)

    @property
    def base_s(self) -> float:
        """The time of a step without any sequence."""
        return max(0.0, self._best.squares.coefficients[0])

    @property
    def slope_s(self) -> float:
        """The time that one more decoding sequence adds to a step."""
        return max(MIN_SLOPE_S, self._best.squares.coefficients[1] / SCALE)

    @property
    def is_fitted(self) -> bool:
        """Tells whether enough different steps were seen to trust the fit."""
        return self._best.is_trusted

    def observe(self, step_s: float, sequences: int, reading: bool) -> None:
        """Learns from one step."""
        if reading:
            self._learn_extra(step_s - self.step_s(sequences))
        else:
            self._plain.observe(step_s, sequences, reading)
        if not self._plain.is_trusted:
            self._all.observe(step_s, sequences, reading)

    def step_s(self, sequences: float) -> float:
        """Predicts a step that reads no prompt."""
        return self.base_s + self.slope_s * sequences

    def sequences_within(self, step_s: float) -> float:
        """Returns how many sequences a step of that length can decode."""
        return max(0.0, (step_s - self.base_s) / self.slope_s)

    @property
    def _best(self) -> Fit:
        return self._plain if self._plain.is_trusted else self._all

    def _learn_extra(self, extra_s: float) -> None:
        if extra_s > self.read_extra_s:
            self.read_extra_s += EXTRA_STEP_S * EXTRA_QUANTILE
        else:
            self.read_extra_s -= EXTRA_STEP_S * (1.0 - EXTRA_QUANTILE)
        self.read_extra_s = max(0.0, self.read_extra_s)
