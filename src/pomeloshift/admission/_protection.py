"""Decides how much batch work the online streams being read bear."""

from ._config import AdmissionConfig
from ._first_token_model import FirstTokenModel
from ._observer import Observer
from ._roster import Roster
from ._shadow_queue import ShadowQueue
from ._step_model import StepModel
from ._stream import Stream

QUEUE_BUSY_S = 0.11
KEPT_STEP_SHARE = 0.08


class Protection:
    """Keeps first tokens close to those that the engine would give without batch.

    Each arrival's wait is predicted with and without batch work. An arrival in the
    tail of the batch-free waits may only wait a little longer than it would alone;
    one below the tail may wait up to the tail, since that does not move the tail.
    When prompts have been read without a break for long, as in a burst, batch work
    keeps only a small share of each step.
    """

    def __init__(
        self,
        cfg: AdmissionConfig,
        roster: Roster,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        observer: Observer,
    ) -> None:
        self.cfg = cfg
        self._roster = roster
        self._steps = steps
        self._first_tokens = first_tokens
        self._observer = observer
        self._shadow = ShadowQueue(steps)
        self._busy_since = 0.0
        self._busy_arrivals = 0

    @property
    def is_active(self) -> bool:
        """Tells whether no batch prompt may be read now."""
        reading = self._roster.online_reading.values()
        return any(s.is_protected for s in reading)

    def advance(self, now: float) -> None:
        """Lets time pass."""
        self._shadow.advance(now, self._first_tokens.chunk_tokens)

    def on_online_end(self, stream: Stream) -> None:
        """Learns from an online stream that ended."""
        self._shadow.on_output(stream.tokens)

    def on_online_start(self, stream: Stream, now: float) -> None:
        """Sets what a stream that is about to start allows beside it."""
        self._count_arrival(now)
        roster = self._roster
        model = self._first_tokens
        stream.read_tokens = model.uncached_tokens(stream.offer.prompt_tokens)
        tokens = stream.read_tokens + self._tokens_ahead()
        limit_s = self._allowed_wait_s(stream, now)
        room = model.sequences_within(tokens, limit_s) - len(roster.online_decoding)
        stream.max_batch = max(0.0, room)
        batch_ahead = sum(s.read_tokens for s in roster.batch_reading.values())
        with_batch_s = model.wait_s(tokens + batch_ahead, roster.decoding)
        stream.is_protected = with_batch_s > limit_s

    def batch_cap(self, now: float) -> float:
        """Returns how many batch streams may run now."""
        if self._is_long_busy(now):
            online = len(self._roster.online_decoding)
            return KEPT_STEP_SHARE * self._steps.step_s(online) / self._steps.slope_s
        reading = self._roster.online_reading.values()
        return min((s.max_batch for s in reading), default=float("inf"))

    def _count_arrival(self, now: float) -> None:
        if not self._roster.online_reading:
            self._busy_since = now
            self._busy_arrivals = 0
        self._busy_arrivals += 1

    def _allowed_wait_s(self, stream: Stream, now: float) -> float:
        model = self._first_tokens
        self._shadow.advance(now, model.chunk_tokens)
        alone_s = self._shadow.wait_s(stream.read_tokens, model.chunk_tokens)
        model.observe_wait(alone_s)
        queued = len(self._roster.online_reading) > self.cfg.queue_streams
        quantile = self.cfg.queue_quantile if queued else self.cfg.tail_quantile
        return max(model.tail_s(quantile), alone_s * self.cfg.tail_ratio)

    def _tokens_ahead(self) -> float:
        """Estimates the online prompt tokens that the engine has still to read."""
        reading = self._roster.online_reading.values()
        if not reading:
            return 0.0
        ahead = sum(s.read_tokens for s in reading)
        newest_start = max(s.steps_at_start for s in reading)
        steps = self._observer.step_count - newest_start
        return max(0.0, ahead - steps * self._first_tokens.chunk_tokens)

    def _is_long_busy(self, now: float) -> bool:
        if not self._roster.online_reading:
            return False
        is_queue = self._busy_arrivals >= self.cfg.busy_arrivals
        longest_s = QUEUE_BUSY_S if is_queue else self.cfg.busy_s
        return now - self._busy_since >= longest_s
