"""Estimates the online load of an engine as it would be without batch work."""

import attrs

from ._step_model import StepModel

MEAN_WEIGHT = 0.05
INITIAL_OUTPUT_TOKENS = 100.0
MAX_SLICE_S = 0.05


@attrs.define
class ShadowQueue:
    """A fluid model of the engine with the same online streams and no batch streams.

    ``tokens`` are the prompt tokens still to be prefilled, and ``streams`` the
    decoding streams. Streams leave after ``mean_output_tokens``, the mean of the real
    online streams, at the step time of the modelled load.
    """

    step_model: StepModel
    tokens: float = 0.0
    streams: float = 0.0
    mean_output_tokens: float = INITIAL_OUTPUT_TOKENS
    _at: float | None = None

    def wait_s(self, prompt_tokens: float, chunk_tokens: float) -> float:
        """Adds a stream and returns its time to first token in seconds."""
        self.tokens += prompt_tokens
        steps = max(1.0, self.tokens / chunk_tokens) + 0.5
        wait_s = steps * self._step_s()
        self.streams += 1.0
        return wait_s

    def on_output(self, tokens: int) -> None:
        """Updates the mean output with the tokens of a finished online stream."""
        change = tokens - self.mean_output_tokens
        self.mean_output_tokens += MEAN_WEIGHT * change

    def advance(self, now: float, chunk_tokens: float) -> None:
        """Advances the model from the last call to ``now``."""
        if self._at is None:
            self._at = now
        left_s = now - self._at
        self._at = now
        while left_s > 0:
            slice_s = min(left_s, MAX_SLICE_S)
            self._advance_slice(slice_s, chunk_tokens)
            left_s -= slice_s

    def _advance_slice(self, slice_s: float, chunk_tokens: float) -> None:
        steps = slice_s / self._step_s()
        ended = self.streams * steps / max(1.0, self.mean_output_tokens)
        self.streams = max(0.0, self.streams - ended)
        self.tokens = max(0.0, self.tokens - steps * chunk_tokens)

    def _step_s(self) -> float:
        model = self.step_model
        prefill_s = model.prefill_extra_s if self.tokens > 0 else 0.0
        return max(1e-4, model.step_s(self.streams) + prefill_s)
