"""Derives the engine's steps from the arrival of tokens."""

from ._first_token_model import FirstTokenModel
from ._step_model import StepModel
from ._step_target import StepTarget
from ._stream import Phase, Stream
from ._stream_table import StreamTable

SAME_STEP_S = 0.002
SAME_STEP_SHARE = 0.75
GAP_WEIGHT = 0.1
MAX_GAP_S = 2.0


class Observer:
    """Recognises the steps of one engine and passes them to the models.

    ``gap_s`` is the smoothed time between tokens in seconds. ``step_count`` counts
    the steps, and ``last_prefill_step`` is the count at the latest first token.
    """

    def __init__(
        self,
        table: StreamTable,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        step_target: StepTarget,
    ) -> None:
        self.gap_s = 0.0
        self._same_step_s = SAME_STEP_S
        self.step_count = 0
        self.last_prefill_step = 0
        self._table = table
        self._steps = steps
        self._first_tokens = first_tokens
        self._step_target = step_target
        self._step_at = float("-inf")
        self._sequences = 0
        self._is_new_step = False
        self._had_prefill = True

    def add_to_current_step(self, stream: Stream, tokens: int, now: float) -> bool:
        """Counts tokens of a step that was already observed.

        Returns `False`, without counting, for tokens that `on_tokens` has to handle.
        """
        # Inlined for speed: this runs for every token.
        step_at = self._step_at
        if self._is_new_step or stream.phase is not Phase.DECODING:
            return False
        if stream.last_token_at >= step_at or now - step_at > self._same_step_s:
            return False
        stream.tokens += tokens
        stream.last_token_at = now
        return True

    def on_tokens(self, stream: Stream, tokens: int, now: float) -> None:
        """Processes the arrival of ``tokens`` tokens of a running stream."""
        if self._begins_step(stream, now):
            self._step_at = now
            self.step_count += 1
            self._sequences = self._table.decoding
            self._is_new_step = True
        if stream.phase is Phase.PREFILL:
            self._on_first_token(stream)
        elif self._is_new_step:
            self._is_new_step = False
            gap_s = (now - stream.last_token_at) / max(1, tokens)
            self._on_step(gap_s)
        stream.tokens += tokens
        stream.last_token_at = now

    def _begins_step(self, stream: Stream, now: float) -> bool:
        """Returns whether a token of ``stream`` begins a new step.

        A decoding stream gets tokens once in each step, and the tokens of all streams
        in a step arrive at about the same time.
        """
        if stream.phase is Phase.DECODING and stream.last_token_at >= self._step_at:
            return True
        return now - self._step_at > self._same_step_s

    def _on_step(self, gap_s: float) -> None:
        if gap_s > MAX_GAP_S:
            return
        prefilling = self._table.has_prefill
        self._steps.observe(gap_s, self._sequences, prefilling or self._had_prefill)
        self._had_prefill = prefilling
        self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)
        self._same_step_s = max(SAME_STEP_S, SAME_STEP_SHARE * self.gap_s)
        online = len(self._table.online_decoding)
        if online:
            self._step_target.observe(gap_s, online)

    def _on_first_token(self, stream: Stream) -> None:
        self.last_prefill_step = self.step_count
        if stream.is_sole_prefill and stream.is_online:
            steps = self.step_count - stream.steps_at_start
            self._first_tokens.observe_prefill(stream.offer.prompt_tokens, steps)
        self._had_prefill = True
