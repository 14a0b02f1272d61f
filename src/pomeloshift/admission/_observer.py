"""Turns the arrival of tokens into observations of the engine's steps."""

from ._first_token_model import FirstTokenModel
from ._pace_goal import PaceGoal
from ._roster import Roster
from ._step_model import StepModel
from ._stream import Phase, Stream

SAME_STEP_S = 0.002
SAME_STEP_SHARE = 0.75
GAP_SHARE = 0.1
LONGEST_GAP_S = 2.0


class Observer:
    """Learns from what the streams of one engine show of its steps."""

    def __init__(
        self,
        roster: Roster,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        pace: PaceGoal,
    ) -> None:
        self.gap_s = 0.0
        self._same_step_s = SAME_STEP_S
        self.step_count = 0
        self.read_step = 0
        self._roster = roster
        self._steps = steps
        self._first_tokens = first_tokens
        self._pace = pace
        self._step_at = float("-inf")
        self._sequences = 0
        self._is_new_step = False
        self._was_reading = True

    def adds_only(self, stream: Stream, tokens: int, now: float) -> bool:
        """Counts tokens of a step that was observed already; `False` for others."""
        # Written out because it runs for every token.
        step_at = self._step_at
        if self._is_new_step or stream.phase is not Phase.DECODING:
            return False
        if stream.last_token_at >= step_at or now - step_at > self._same_step_s:
            return False
        stream.tokens += tokens
        stream.last_token_at = now
        return True

    def on_tokens(self, stream: Stream, tokens: int, now: float) -> None:
        """Takes the arrival of ``tokens`` tokens of a running stream."""
        if self._begins_step(stream, now):
            self._step_at = now
            self.step_count += 1
            self._sequences = self._roster.decoding
            self._is_new_step = True
        if stream.phase is Phase.READING:
            self._on_first_token(stream)
        elif self._is_new_step:
            self._is_new_step = False
            gap_s = (now - stream.last_token_at) / max(1, tokens)
            self._on_step(gap_s)
        stream.tokens += tokens
        stream.last_token_at = now

    def _begins_step(self, stream: Stream, now: float) -> bool:
        """Tells steps apart: a stream gets tokens once a step, all at about a time."""
        if stream.phase is Phase.DECODING and stream.last_token_at >= self._step_at:
            return True
        return now - self._step_at > self._same_step_s

    def _on_step(self, gap_s: float) -> None:
        if gap_s > LONGEST_GAP_S:
            return
        reading = self._roster.is_reading
        self._steps.observe(gap_s, self._sequences, reading or self._was_reading)
        self._was_reading = reading
        self.gap_s += GAP_SHARE * (gap_s - self.gap_s)
        self._same_step_s = max(SAME_STEP_S, SAME_STEP_SHARE * self.gap_s)
        online = len(self._roster.online_decoding)
        if online:
            self._pace.observe(gap_s, online)

    def _on_first_token(self, stream: Stream) -> None:
        self.read_step = self.step_count
        if stream.read_alone and stream.is_online:
            steps = self.step_count - stream.steps_at_start
            self._first_tokens.observe_read(stream.offer.prompt_tokens, steps)
        self._was_reading = True
