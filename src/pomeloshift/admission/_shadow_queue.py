"""Estimates the reading queue as it would be without batch work."""

import attrs

from ._step_model import StepModel


@attrs.define
class ShadowQueue:
    """A fluid queue of online prompt tokens that is drained at the batch-free pace.

    Without batch work steps are shorter, so online streams leave sooner and fewer of
    them decode at a time: by Little's law their number shrinks with the step time.
    """

    step_model: StepModel
    tokens: float = 0.0
    _at: float = 0.0

    def wait_s(
        self, prompt_tokens: float, chunk_tokens: float, online: int, step_s: float
    ) -> float:
        """Adds a prompt and returns its wait for the first token without batch."""
        self.tokens += prompt_tokens
        pace_s = self.pace_s(online, step_s)
        return max(1.0, self.tokens / chunk_tokens) * pace_s

    def drain(
        self, now: float, chunk_tokens: float, online: int, step_s: float
    ) -> None:
        """Lets the time since the last call pass."""
        elapsed_s = now - self._at
        self._at = now
        if self.tokens > 0:
            read = chunk_tokens * elapsed_s / self.pace_s(online, step_s)
            self.tokens = max(0.0, self.tokens - read)

    def pace_s(self, online: int, step_s: float) -> float:
        """Returns the length of a batch-free step that reads a whole chunk.

        ``step_s`` is the recent length of the engine's steps with batch work, in
        which ``online`` streams decode.
        """
        model = self.step_model
        fixed_s = model.base_s + model.read_extra_s
        if step_s <= 0:
            return fixed_s + model.slope_s * online
        shrink = 1.0 - model.slope_s * online / step_s
        return fixed_s / max(fixed_s / (fixed_s + model.slope_s * online), shrink)
