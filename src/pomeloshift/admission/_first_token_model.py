"""Predicts how long online streams wait for their first token."""

import math
from collections import deque

import attrs

from ._least_squares import LeastSquares
from ._step_model import StepModel

TOKENS_SCALE = 256.0
FIRST_STEPS_PER_SCALE = 0.7
MIN_CHUNK_TOKENS = 16.0
MAX_CHUNK_TOKENS = 16384.0
ROUNDING_STEPS = 1.5
CURRENT_STEP_SHARE = 0.5
SAMPLES = 512
REFRESH_EVERY = 16


@attrs.define
class FirstTokenModel:
    """Learns how many steps prompts take to read and which waits are in the tail.

    The steps of prompts that were read by themselves give a line over their tokens:
    its slope is the inverse of the tokens read in a step, and its intercept shows how
    many tokens the engine finds in its prefix cache.
    """

    step_model: StepModel
    _line: LeastSquares = attrs.field(
        factory=lambda: LeastSquares((ROUNDING_STEPS, FIRST_STEPS_PER_SCALE, 0.0))
    )
    _waits: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    _ordered: list[float] = attrs.field(factory=list)
    _since_refresh: int = 0

    @property
    def chunk_tokens(self) -> float:
        """The prompt tokens that a step reads at most."""
        slope = self._line.coefficients[1]
        if slope <= 0:
            return MAX_CHUNK_TOKENS
        return min(MAX_CHUNK_TOKENS, max(MIN_CHUNK_TOKENS, TOKENS_SCALE / slope))

    def uncached_tokens(self, prompt_tokens: float) -> float:
        """Estimates how many tokens of a prompt the engine has to read."""
        cached = (ROUNDING_STEPS - self._line.coefficients[0]) * self.chunk_tokens
        return max(MIN_CHUNK_TOKENS, prompt_tokens - max(0.0, cached))

    def observe_read(self, prompt_tokens: int, steps: int) -> None:
        """Learns from a prompt that was read in ``steps`` steps by itself."""
        self._line.observe((1.0, prompt_tokens / TOKENS_SCALE, 0.0), float(steps))

    def observe_wait(self, alone_s: float) -> None:
        """Adds the wait that an arrival would have without any batch work."""
        self._waits.append(alone_s)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY or len(self._waits) < REFRESH_EVERY:
            self._since_refresh = 0
            self._ordered = sorted(self._waits)

    def tail_s(self, quantile: float) -> float:
        """Returns a quantile of the recent waits without batch work."""
        if not self._ordered:
            return 0.0
        return self._ordered[int(quantile * (len(self._ordered) - 1))]

    def steps_for(self, tokens: float) -> int:
        """Returns the steps it takes to read ``tokens`` uncached tokens."""
        return max(1, math.ceil(tokens / self.chunk_tokens))

    def wait_s(self, tokens: float, sequences: float) -> float:
        """Predicts the time to read ``tokens`` beside decoding ``sequences``."""
        model = self.step_model
        steps = self.steps_for(tokens) + CURRENT_STEP_SHARE
        return steps * (model.step_s(sequences) + model.read_extra_s)

    def sequences_within(self, tokens: float, wait_s: float) -> float:
        """Returns how many sequences may decode so that reading takes ``wait_s``."""
        model = self.step_model
        steps = self.steps_for(tokens) + CURRENT_STEP_SHARE
        return model.sequences_within(wait_s / steps - model.read_extra_s)
