"""Limits batch work while online prompts are in prefill."""

from ._config import AdmissionConfig
from ._first_token_model import FirstTokenModel
from ._observer import Observer
from ._shadow_queue import ShadowQueue
from ._step_model import StepModel
from ._stream import Stream
from ._stream_table import StreamTable

MAX_QUEUED_BUSY_S = 0.11
BATCH_STEP_SHARE = 0.08


class Protection:
    """Keeps the time to first token close to what it would be without batch work.

    The wait of each arrival is predicted with and without batch work. An arrival in
    the tail of the batch-free waits may wait only a little longer than without batch
    work. Any other arrival may wait up to the start of the tail, which leaves the
    tail unchanged.
    In a long busy period (online prefill without a break, as in a burst), batch work
    keeps only a small share of each step.
    """

    def __init__(
        self,
        cfg: AdmissionConfig,
        table: StreamTable,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        observer: Observer,
    ) -> None:
        self.cfg = cfg
        self._table = table
        self._steps = steps
        self._first_tokens = first_tokens
        self._observer = observer
        self._shadow = ShadowQueue(steps)
        self._busy_since = 0.0
        self._busy_arrivals = 0

    @property
    def is_active(self) -> bool:
        """Whether no batch prompt may be in prefill now."""
        prefilling = self._table.online_prefill.values()
        return any(s.is_protected for s in prefilling)

    def advance(self, now: float) -> None:
        """Advances the shadow queue to ``now``."""
        self._shadow.advance(now, self._first_tokens.chunk_tokens)

    def on_online_end(self, stream: Stream) -> None:
        """Updates the mean output of online streams with that of an ended stream."""
        self._shadow.on_output(stream.tokens)

    def on_online_start(self, stream: Stream, now: float) -> None:
        """Sets how much batch work may run during the prefill of a new stream."""
        self._count_arrival(now)
        table = self._table
        model = self._first_tokens
        stream.prefill_tokens = model.uncached_tokens(stream.offer.prompt_tokens)
        tokens = stream.prefill_tokens + self._tokens_ahead()
        limit_s = self._allowed_wait_s(stream, now)
        batch_streams = model.sequences_within(tokens, limit_s) - len(
            table.online_decoding
        )
        stream.batch_cap = max(0.0, batch_streams)
        batch_ahead = sum(s.prefill_tokens for s in table.batch_prefill.values())
        with_batch_s = model.wait_s(tokens + batch_ahead, table.decoding)
        stream.is_protected = with_batch_s > limit_s

    def batch_cap(self, now: float) -> float:
        """Returns how many batch streams may run now, infinity for no bound."""
        if self._is_long_busy_period(now):
            online = len(self._table.online_decoding)
            return BATCH_STEP_SHARE * self._steps.step_s(online) / self._steps.slope_s
        prefilling = self._table.online_prefill.values()
        return min((s.batch_cap for s in prefilling), default=float("inf"))

    def _count_arrival(self, now: float) -> None:
        if not self._table.online_prefill:
            self._busy_since = now
            self._busy_arrivals = 0
        self._busy_arrivals += 1

    def _allowed_wait_s(self, stream: Stream, now: float) -> float:
        model = self._first_tokens
        self._shadow.advance(now, model.chunk_tokens)
        batch_free_s = self._shadow.wait_s(stream.prefill_tokens, model.chunk_tokens)
        model.observe_wait(batch_free_s)
        queued = len(self._table.online_prefill) > self.cfg.queue_streams
        quantile = self.cfg.queue_quantile if queued else self.cfg.tail_quantile
        return max(model.tail_s(quantile), batch_free_s * self.cfg.tail_ratio)

    def _tokens_ahead(self) -> float:
        """Estimates the online prompt tokens that the engine has yet to prefill."""
        prefilling = self._table.online_prefill.values()
        if not prefilling:
            return 0.0
        ahead = sum(s.prefill_tokens for s in prefilling)
        newest_start = max(s.steps_at_start for s in prefilling)
        steps = self._observer.step_count - newest_start
        return max(0.0, ahead - steps * self._first_tokens.chunk_tokens)

    def _is_long_busy_period(self, now: float) -> bool:
        if not self._table.online_prefill:
            return False
        is_queue = self._busy_arrivals >= self.cfg.busy_arrivals
        max_s = MAX_QUEUED_BUSY_S if is_queue else self.cfg.busy_s
        return now - self._busy_since >= max_s
