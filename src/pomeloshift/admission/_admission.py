"""The admission of one engine: events in, effects out."""

from ..model import LoadReport
from ._batch_limit import BatchLimit
from ._config import AdmissionConfig
from ._errors import DeadlineExceededError, EngineFullError
from ._first_token_model import FirstTokenModel
from ._messages import (
    AdmissionEffect,
    AdmissionEvent,
    PreemptStream,
    PullBatch,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    StreamOffered,
    Tick,
    TokensArrived,
)
from ._observer import Observer
from ._protection import Protection
from ._step_model import StepModel
from ._step_target import StepTarget
from ._stream import Phase, Stream
from ._stream_table import StreamTable

# The share of online gaps between tokens that may exceed their target.
LATE_SHARE = 0.04
# What the engine prefills for a resumed stream whose context is still cached.
RESUME_PREFILL_TOKENS = 10
# How long the engine's prefix cache is expected to hold a preempted stream's context.
CACHED_S = 20.0
PULL_INTERVAL_S = 0.1
# The weight of a new sample in the moving averages of online streams.
MEAN_WEIGHT = 0.05
INITIAL_STREAM_TOKENS = 1000.0
INITIAL_STREAM_S = 5.0
RETRY_AFTER_S = 1.0
# Bounds the reported capacity while no limit of the engine is known.
MAX_TOKENS = 1e12


class Admission:
    """Fills an engine with batch streams while online streams meet their targets.

    Designed for online load in bursts, with batch streams to use the capacity between
    them. The engine is observed only through its streams: when they start and when
    their tokens arrive. Online streams start at once, up to the number whose steps stay
    within the between-tokens target; batch streams use the capacity that is left and
    are preempted when online streams need it.

    All times are monotonic seconds of the caller.

        for effect in admission.handle(StreamOffered(...), now):
            ...
    """

    def __init__(self, cfg: AdmissionConfig) -> None:
        self.cfg = cfg
        self._table = StreamTable()
        self._steps = StepModel()
        self._first_tokens = FirstTokenModel(self._steps)
        self._step_target = StepTarget(
            cfg.between_tokens_target_s, LATE_SHARE, cfg.max_step_scale
        )
        self._observer = Observer(
            self._table, self._steps, self._first_tokens, self._step_target
        )
        self._protection = Protection(
            cfg, self._table, self._steps, self._first_tokens, self._observer
        )
        self._limit = BatchLimit(
            cfg,
            self._table,
            self._steps,
            self._first_tokens,
            self._observer,
            self._step_target,
        )
        self._pulled_at = float("-inf")
        self._online_s = INITIAL_STREAM_S
        self._online_tokens = INITIAL_STREAM_TOKENS
        self._sequence = 0

    def reconfigure(self, cfg: AdmissionConfig) -> None:
        """Applies new settings; the models of the engine are retained."""
        self.cfg = cfg
        self._protection.cfg = cfg
        self._limit.cfg = cfg
        self._step_target.target_s = cfg.between_tokens_target_s
        self._step_target.max_scale = cfg.max_step_scale

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionEffect]:
        """Handles an event; returns the effects to execute, in order."""
        if type(event) is TokensArrived:
            stream = self._table.get(event.stream_id)
            if stream is None or self._observer.add_to_current_step(
                stream, event.tokens, now
            ):
                return []
            return self._on_tokens(stream, event.tokens, now)
        if type(event) is StreamOffered:
            return self._on_offered(event, now)
        if type(event) is StreamEnded:
            return self._on_ended(event, now)
        if type(event) is Tick:
            return self._on_tick(now)
        return []

    def load(self, now: float) -> LoadReport:
        """Returns the load report; each call raises its sequence number by 1."""
        self._sequence += 1
        capacity = self._online_limit() * self._online_tokens
        return self._table.load_report(
            self._observer.gap_s, int(min(capacity, MAX_TOKENS)), self._sequence
        )

    def _on_tokens(
        self, stream: Stream, tokens: int, now: float
    ) -> list[AdmissionEffect]:
        if stream.phase in (Phase.WAITING, Phase.PREEMPTED):
            return []
        self._observer.on_tokens(stream, tokens, now)
        if stream.phase is not Phase.PREFILL:
            return []
        self._table.move(stream, Phase.DECODING, now)
        return self._balance(now)

    def _on_offered(self, offer: StreamOffered, now: float) -> list[AdmissionEffect]:
        if self._table.get(offer.stream_id) is not None:
            return []
        stream = self._table.add(offer, now)
        if not stream.is_online:
            return self._balance(now)
        return self._on_online_offered(stream, now)

    def _on_online_offered(self, stream: Stream, now: float) -> list[AdmissionEffect]:
        waiting_s = self._queue_wait_s()
        slack_s = stream.offer.deadline_at - now
        if waiting_s > min(self.cfg.online_wait_s, slack_s):
            self._table.remove(stream)
            error = EngineFullError(
                f"expected to wait {waiting_s:.1f} s for a slot at the engine",
                retry_after_s=max(RETRY_AFTER_S, waiting_s),
            )
            return [ShedStream(stream.stream_id, error.report())]
        return self._balance(now)

    def _on_ended(self, event: StreamEnded, now: float) -> list[AdmissionEffect]:
        stream = self._table.get(event.stream_id)
        if stream is None:
            return []
        self._table.remove(stream)
        if stream.is_online and stream.phase is not Phase.WAITING:
            self._learn_end(stream, now)
        return self._balance(now)

    def _learn_end(self, stream: Stream, now: float) -> None:
        tokens = stream.context_tokens - self._online_tokens
        self._online_tokens += MEAN_WEIGHT * tokens
        self._protection.on_online_end(stream)
        lasted_s = now - stream.started_at
        self._online_s += MEAN_WEIGHT * (lasted_s - self._online_s)

    def _on_tick(self, now: float) -> list[AdmissionEffect]:
        self._protection.advance(now)
        self._limit.adjust(now)
        effects = self._shed_late(now)
        effects += self._balance(now)
        effects += self._release_held(now)
        effects += self._pull_batch(now)
        return effects

    def _balance(self, now: float) -> list[AdmissionEffect]:
        starts = self._start_online(now)
        effects = self._preempt(now)
        effects += starts
        effects += self._start_batch(now)
        return effects

    def _start_online(self, now: float) -> list[AdmissionEffect]:
        table = self._table
        effects: list[AdmissionEffect] = []
        limit = self._online_limit()
        for stream in tuple(table.online_waiting.values()):
            if table.online_running >= limit:
                break
            if stream.offer.alone and table.has_suspect:
                continue
            self._protection.on_online_start(stream, now)
            self._begin(stream, now)
            effects.append(StartStream(stream.stream_id))
        return effects

    def _online_limit(self) -> float:
        if not self._steps.is_fitted:
            return float("inf")
        target_s = self.cfg.between_tokens_target_s
        return max(1.0, self._steps.sequences_within(target_s))

    def _queue_wait_s(self) -> float:
        table = self._table
        ahead = len(table.online_waiting)
        if ahead == 0 or table.online_running < self._online_limit():
            return 0.0
        return ahead * self._online_s / max(1, table.online_running)

    def _preempt(self, now: float) -> list[AdmissionEffect]:
        table = self._table
        cap = min(self._protection.batch_cap(now), self._limit.bound)
        excess = table.batch_running - int(cap)
        if self._protection.is_active:
            excess = max(excess, len(table.batch_prefill))
        if excess <= 0:
            return []
        prefilling = list(table.batch_prefill.values())
        decoding = sorted(table.batch_decoding.values(), key=lambda s: s.context_tokens)
        chosen = (prefilling + decoding)[:excess]
        for stream in chosen:
            is_cached = stream.phase is Phase.DECODING
            prefill_tokens = (
                RESUME_PREFILL_TOKENS if is_cached else stream.context_tokens
            )
            stream.prefill_tokens = prefill_tokens
            table.move(stream, Phase.PREEMPTED, now)
        return [PreemptStream(s.stream_id) for s in chosen]

    def _start_batch(self, now: float) -> list[AdmissionEffect]:
        table = self._table
        effects: list[AdmissionEffect] = []
        if table.online_waiting or table.online_prefill:
            return effects
        free_slots = int(self._limit.streams) - table.batch_running
        prefilling = sum(s.prefill_tokens for s in table.batch_prefill.values())
        while free_slots > 0 and prefilling < self._first_tokens.chunk_tokens:
            stream = self._next_batch()
            if stream is None:
                break
            resumed = stream.phase is Phase.PREEMPTED
            self._refresh_prefill_tokens(stream, now)
            prefilling += stream.prefill_tokens
            free_slots -= 1
            self._begin(stream, now)
            kind = ResumeStream if resumed else StartStream
            effects.append(kind(stream.stream_id))
        return effects

    def _refresh_prefill_tokens(self, stream: Stream, now: float) -> None:
        if stream.phase is Phase.PREEMPTED and now - stream.changed_at > CACHED_S:
            stream.prefill_tokens = stream.context_tokens

    def _next_batch(self) -> Stream | None:
        """Returns the batch stream to start next, if any.

        Preempted streams come first, those with the most generated tokens before
        others. Suspects are skipped while another suspect runs.
        """
        table = self._table
        has_suspect = table.has_suspect
        preempted = (
            stream
            for stream in table.batch_preempted.values()
            if not (stream.offer.alone and has_suspect)
        )
        stream = max(preempted, key=lambda s: s.tokens, default=None)
        if stream is not None:
            return stream
        for waiting in table.batch_waiting.values():
            if not (waiting.offer.alone and has_suspect):
                return waiting
        return None

    def _begin(self, stream: Stream, now: float) -> None:
        table = self._table
        stream.is_sole_prefill = not table.has_prefill
        if not stream.is_sole_prefill:
            for group in (table.online_prefill, table.batch_prefill):
                for other in group.values():
                    other.is_sole_prefill = False
        stream.started_at = now
        stream.steps_at_start = self._observer.step_count
        table.move(stream, Phase.PREFILL, now)

    def _shed_late(self, now: float) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        for stream in tuple(self._table.online_waiting.values()):
            if now >= stream.offer.deadline_at:
                self._table.remove(stream)
                error = DeadlineExceededError(
                    "the deadline passed before the stream started"
                )
                effects.append(ShedStream(stream.stream_id, error.report()))
        return effects

    def _release_held(self, now: float) -> list[AdmissionEffect]:
        table = self._table
        waiting = (*table.batch_preempted.values(), *table.batch_waiting.values())
        late = [s for s in waiting if now - s.changed_at > self.cfg.held_s]
        for stream in late:
            table.remove(stream)
        return [ReleaseStream(s.stream_id) for s in late]

    def _pull_batch(self, now: float) -> list[AdmissionEffect]:
        if now - self._pulled_at < PULL_INTERVAL_S:
            return []
        table = self._table
        free_slots = max(0, int(self._limit.streams) - table.batch_running)
        held = len(table.batch_waiting) + len(table.batch_preempted)
        items = min(free_slots, self.cfg.ready_batch_streams) - held
        items += self.cfg.ready_batch_streams
        if items <= 0 or self._limit.streams < 1:
            return []
        self._pulled_at = now
        return [PullBatch(int(items * self._online_tokens), items)]
