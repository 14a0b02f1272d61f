"""Predicts how long online streams wait for their first token."""

import math
from collections import deque

import attrs

from ._step_model import StepModel

FIRST_CHUNK_TOKENS = 400.0
CHUNK_SHARE = 0.2
MIN_STEPS = 4
SAMPLES = 512
REFRESH_EVERY = 16


@attrs.define
class FirstTokenModel:
    """Learns how many prompt tokens a step reads and which waits are in the tail."""

    step_model: StepModel
    tail_quantile: float
    chunk_tokens: float = FIRST_CHUNK_TOKENS
    tail_s: float = 0.0
    _waits: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    _since_refresh: int = 0

    def observe_read(self, tokens: int, steps: int) -> None:
        """Learns from a prompt that was read in ``steps`` steps by itself."""
        if steps < MIN_STEPS:
            return
        seen = tokens / steps
        self.chunk_tokens += CHUNK_SHARE * (seen - self.chunk_tokens)

    def observe_wait(self, alone_s: float) -> None:
        """Adds the wait that an arrival would have without any batch work."""
        self._waits.append(alone_s)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_EVERY or len(self._waits) < REFRESH_EVERY:
            self._since_refresh = 0
            ordered = sorted(self._waits)
            self.tail_s = ordered[int(self.tail_quantile * (len(ordered) - 1))]

    def steps_for(self, tokens: float) -> int:
        """Returns the steps it takes to read ``tokens`` prompt tokens."""
        return max(1, math.ceil(tokens / self.chunk_tokens))

    def wait_s(self, tokens: float, sequences: float) -> float:
        """Predicts the time to read ``tokens`` beside decoding ``sequences``."""
        model = self.step_model
        steps = self.steps_for(tokens)
        return steps * (model.step_s(sequences) + model.read_extra_s)

    def sequences_within(self, tokens: float, wait_s: float) -> float:
        """Returns how many sequences may decode so that reading takes ``wait_s``."""
        model = self.step_model
        steps = self.steps_for(tokens)
        return model.sequences_within(wait_s / steps - model.read_extra_s)
