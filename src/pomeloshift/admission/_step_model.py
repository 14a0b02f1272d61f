"""Estimates the duration of an engine's steps from the times between tokens."""

import attrs

from ._least_squares import LeastSquares

SEQUENCES_SCALE = 32.0
EXTRA_QUANTILE = 0.9
EXTRA_STEP_S = 0.0005
INITIAL_BASE_S = 0.01
INITIAL_SCALED_SLOPE_S = 0.01
INITIAL_EXTRA_S = 0.01
MIN_SLOPE_S = 1e-6
MIN_STEPS = 40
MIN_SEQUENCE_RANGE = 6


@attrs.define
class Fit:
    """A fit of step times, with the number and the range of its samples."""

    squares: LeastSquares = attrs.field(
        factory=lambda: LeastSquares(
            (INITIAL_BASE_S, INITIAL_SCALED_SLOPE_S, INITIAL_EXTRA_S)
        )
    )
    steps: int = 0
    min_sequences: int = 1 << 30
    max_sequences: int = 0

    @property
    def is_trusted(self) -> bool:
        """Whether the samples differ enough to separate base and slope."""
        return (
            self.steps >= MIN_STEPS
            and self.max_sequences - self.min_sequences >= MIN_SEQUENCE_RANGE
        )

    def observe(self, step_s: float, sequences: int, prefilling: bool) -> None:
        """Updates the fit with one step."""
        self.steps += 1
        self.min_sequences = min(self.min_sequences, sequences)
        self.max_sequences = max(self.max_sequences, sequences)
        self.squares.observe(
            (1.0, sequences / SEQUENCES_SCALE, float(prefilling)), step_s
        )


@attrs.define
class StepModel:
    """Fits step time = base + slope * sequences + extra in steps with prefill.

    Base and slope come from steps without prefill as soon as there are enough of
    them, since the number of prompt tokens in a step cannot be observed.
    ``prefill_extra_s`` is a high quantile of what prefill adds to a step. Times are
    in seconds.
    """

    prefill_extra_s: float = INITIAL_EXTRA_S
    _plain: Fit = attrs.field(factory=Fit)
    _all: Fit = attrs.field(factory=Fit)

    @property
    def base_s(self) -> float:
        """The duration of a step without any sequence."""
        return max(0.0, self._best.squares.coefficients[0])

    @property
    def slope_s(self) -> float:
        """The time that each decoding sequence adds to a step."""
        return max(MIN_SLOPE_S, self._best.squares.coefficients[1] / SEQUENCES_SCALE)

    @property
    def is_fitted(self) -> bool:
        """Whether enough different steps were observed to trust the fit."""
        return self._best.is_trusted

    def observe(self, step_s: float, sequences: int, prefilling: bool) -> None:
        """Updates the fit with one step."""
        if prefilling:
            self._learn_extra(step_s - self.step_s(sequences))
        else:
            self._plain.observe(step_s, sequences, prefilling)
        if not self._plain.is_trusted:
            self._all.observe(step_s, sequences, prefilling)

    def step_s(self, sequences: float) -> float:
        """Predicts the duration of a step without prefill."""
        return self.base_s + self.slope_s * sequences

    def sequences_within(self, step_s: float) -> float:
        """Returns how many sequences a step of ``step_s`` seconds can decode."""
        return max(0.0, (step_s - self.base_s) / self.slope_s)

    @property
    def _best(self) -> Fit:
        return self._plain if self._plain.is_trusted else self._all

    def _learn_extra(self, extra_s: float) -> None:
        if extra_s > self.prefill_extra_s:
            self.prefill_extra_s += EXTRA_STEP_S * EXTRA_QUANTILE
        else:
            self.prefill_extra_s -= EXTRA_STEP_S * (1.0 - EXTRA_QUANTILE)
        self.prefill_extra_s = max(0.0, self.prefill_extra_s)
