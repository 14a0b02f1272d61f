"""Predicts the time to first token of online streams."""

import math
from collections import deque

import attrs

from ._least_squares import LeastSquares
from ._step_model import StepModel

TOKENS_SCALE = 256.0
INITIAL_STEPS_PER_SCALE = 0.7
MIN_CHUNK_TOKENS = 16.0
MAX_CHUNK_TOKENS = 16384.0
ROUNDING_STEPS = 1.5
CURRENT_STEP_SHARE = 0.5
SAMPLES = 512
REFRESH_EVERY = 16


@attrs.define
class FirstTokenModel:
    """Estimates how many steps a prefill takes and which waits are in the tail.

    A line is fitted to the steps of prompts that had the prefill to themselves, over
    their tokens. The inverse of its slope is the number of tokens that a step
    prefills, and its intercept shows how many tokens are in the engine's prefix
    cache. ``step_model`` gives the duration of a step. Times are in seconds.
    """

    step_model: StepModel
    _line: LeastSquares = attrs.field(
        factory=lambda: LeastSquares((ROUNDING_STEPS, INITIAL_STEPS_PER_SCALE, 0.0))
    )
    _waits: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    _sorted_waits: list[float] = attrs.field(factory=list)
    _since_refresh: int = 0

    @property
    def chunk_tokens(self) -> float:
        """The largest number of prompt tokens that a step prefills."""
        slope = self._line.coefficients[1]
        if slope <= 0:
            return MAX_CHUNK_TOKENS
        return min(MAX_CHUNK_TOKENS, max(MIN_CHUNK_TOKENS, TOKENS_SCALE / slope))

    def uncached_tokens(self, prompt_tokens: float) -> float:
        """Estimates how many tokens of a prompt are not in the prefix cache."""
        cached = (ROUNDING_STEPS - self._line.coefficients[0]) * self.chunk_tokens
        return max(MIN_CHUNK_TOKENS, prompt_tokens - max(0.0, cached))

    def observe_prefill(self, prompt_tokens: int, steps: int) -> None:
        """Updates the line with a prompt prefilled alone in ``steps`` steps."""
        self._line.observe((1.0, prompt_tokens / TOKENS_SCALE, 0.0), float(steps))

    def observe_wait(self, batch_free_s: float) -> None:
        """Adds the wait that an arrival would have had without batch work."""
        self._waits.append(batch_free_s)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY or len(self._waits) < REFRESH_EVERY:
            self._since_refresh = 0
            self._sorted_waits = sorted(self._waits)

    def tail_s(self, quantile: float) -> float:
        """Returns a quantile of the recent batch-free waits, 0 before the first."""
        if not self._sorted_waits:
            return 0.0
        return self._sorted_waits[int(quantile * (len(self._sorted_waits) - 1))]

    def steps_for(self, tokens: float) -> int:
        """Returns the number of steps to prefill ``tokens`` uncached tokens."""
        return max(1, math.ceil(tokens / self.chunk_tokens))

    def wait_s(self, tokens: float, sequences: float) -> float:
        """Predicts the time to prefill ``tokens`` while ``sequences`` decode."""
        model = self.step_model
        steps = self.steps_for(tokens) + CURRENT_STEP_SHARE
        return steps * (model.step_s(sequences) + model.prefill_extra_s)

    def sequences_within(self, tokens: float, wait_s: float) -> float:
        """Returns how many sequences may decode while prefill takes ``wait_s``."""
        model = self.step_model
        steps = self.steps_for(tokens) + CURRENT_STEP_SHARE
        return model.sequences_within(wait_s / steps - model.prefill_extra_s)
