"""How many batch streams the engine may run concurrently."""

from ._config import AdmissionConfig
from ._first_token_model import FirstTokenModel
from ._observer import Observer
from ._slot_limit import STUCK_STEPS, SlotLimit
from ._step_model import StepModel
from ._step_target import StepTarget
from ._stream_table import StreamTable

INITIAL_BATCH_LIMIT = 8.0
PROBE_STREAMS = 1.0
SLOW_START_GROWTH = 1.0
GROWTH_SHARE = 0.1
HARD_LIMIT_RATIO = 1.25


class BatchLimit:
    """Limits batch streams so that steps with prefill stay below the step-time target.

    Batch streams are started up to ``streams``. They are preempted only beyond
    ``bound``, which is higher, because streams that end reduce the number anyway.
    """

    def __init__(
        self,
        cfg: AdmissionConfig,
        table: StreamTable,
        steps: StepModel,
        first_tokens: FirstTokenModel,
        observer: Observer,
        step_target: StepTarget,
    ) -> None:
        self.cfg = cfg
        self.streams = INITIAL_BATCH_LIMIT
        self._table = table
        self._steps = steps
        self._first_tokens = first_tokens
        self._observer = observer
        self._step_target = step_target
        self._slots = SlotLimit()

    @property
    def bound(self) -> float:
        """The number of batch streams beyond which some are preempted."""
        slots = self._slots.batch_bound(self._table.online_running)
        return max(self._min_streams, min(HARD_LIMIT_RATIO * self.streams, slots))

    @property
    def _min_streams(self) -> float:
        """The batch streams that may run whatever the models predict.

        Without any stream there are no measurements, and the models of an engine
        that was slow for a while would never recover.
        """
        if self._table.has_online:
            return 0.0
        return min(PROBE_STREAMS, self.cfg.max_batch_streams)

    def adjust(self, now: float) -> None:
        """Recomputes the limit from the step-time model and the known slots."""
        self._slots.advance(now)
        self._detect_full()
        table = self._table
        limit = (
            self._fitted_limit() if self._steps.is_fitted else self._slow_start_limit()
        )
        capacity = self._slots.batch_capacity(table.online_running)
        limit = min(limit, capacity, self.cfg.max_batch_streams)
        self.streams = max(self._min_streams, limit)

    def _fitted_limit(self) -> float:
        decode_s = self._step_target.step_s - self._steps.prefill_extra_s
        sequences = self._steps.sequences_within(decode_s)
        wanted = sequences - len(self._table.online_decoding)
        growth = max(1.0, GROWTH_SHARE * self.streams)
        return min(wanted, self.streams + growth)

    def _slow_start_limit(self) -> float:
        is_used = self._table.batch_running + 1 >= self.streams
        max_s = self._step_target.step_s - self._steps.prefill_extra_s
        if is_used and self._observer.gap_s < max_s:
            return self.streams + SLOW_START_GROWTH
        return self.streams

    def _detect_full(self) -> None:
        table = self._table
        oldest = next(iter(table.batch_prefill.values()), None)
        if oldest is None or table.online_prefill:
            return
        tokens = sum(s.prefill_tokens for s in table.batch_prefill.values())
        since = max(oldest.steps_at_start, self._observer.last_prefill_step)
        steps = self._observer.step_count - since
        if steps > STUCK_STEPS + 2 * self._first_tokens.steps_for(tokens):
            self._slots.observe_full(table.decoding)
