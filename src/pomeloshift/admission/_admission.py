"""The decisions of one backend server's admission."""

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
from ._pace_goal import PaceGoal
from ._protection import Protection
from ._roster import Roster
from ._step_model import StepModel
from ._stream import Phase, Stream

LATE_SHARE = 0.04
RESUME_READ_TOKENS = 10
CACHED_S = 20.0
WANTED_INTERVAL_S = 0.1
MEAN_SHARE = 0.05
FIRST_STREAM_TOKENS = 1000.0
FIRST_STREAM_S = 5.0
RETRY_AFTER_S = 1.0
MAX_TOKENS = 1e12


class Admission:
    """Keeps an engine filled with batch work that never delays online work.

    It sees only its own streams: when they started and when their tokens came.

        for effect in admission.handle(StreamOffered(...), now):
            ...
    """

    def __init__(self, cfg: AdmissionConfig) -> None:
        self.cfg = cfg
        self._roster = Roster()
        self._steps = StepModel()
        self._first_tokens = FirstTokenModel(self._steps)
        self._pace = PaceGoal(
            cfg.between_tokens_target_s, LATE_SHARE, cfg.highest_pace_scale
        )
        self._observer = Observer(
            self._roster, self._steps, self._first_tokens, self._pace
        )
        self._protection = Protection(
            cfg, self._roster, self._steps, self._first_tokens, self._observer
        )
        self._limit = BatchLimit(
            cfg,
            self._roster,
            self._steps,
            self._first_tokens,
            self._observer,
            self._pace,
        )
        self._wanted_at = float("-inf")
        self._online_s = FIRST_STREAM_S
        self._online_tokens = FIRST_STREAM_TOKENS
        self._sequence = 0

    def reconfigure(self, cfg: AdmissionConfig) -> None:
        """Applies other settings; what was learnt of the engine is kept."""
        self.cfg = cfg
        self._protection.cfg = cfg
        self._limit.cfg = cfg
        self._pace.target_s = cfg.between_tokens_target_s
        self._pace.highest_scale = cfg.highest_pace_scale

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionEffect]:
        """Takes an event at ``now`` and returns what the shell has to do, in order."""
        if type(event) is TokensArrived:
            stream = self._roster.get(event.stream_id)
            if stream is None or self._observer.adds_only(stream, event.tokens, now):
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
        """Returns the load as this sidecar knows it."""
        self._sequence += 1
        capacity = self._online_limit() * self._online_tokens
        return self._roster.load_report(
            self._observer.gap_s, int(min(capacity, MAX_TOKENS)), self._sequence
        )

    def _on_tokens(
        self, stream: Stream, tokens: int, now: float
    ) -> list[AdmissionEffect]:
        if stream.phase in (Phase.WAITING, Phase.PREEMPTED):
            return []
        self._observer.on_tokens(stream, tokens, now)
        if stream.phase is not Phase.READING:
            return []
        self._roster.move(stream, Phase.DECODING, now)
        return self._balance(now)

    def _on_offered(self, offer: StreamOffered, now: float) -> list[AdmissionEffect]:
        if self._roster.get(offer.stream_id) is not None:
            return []
        stream = self._roster.add(offer, now)
        if not stream.is_online:
            return self._balance(now)
        return self._on_online_offered(stream, now)

    def _on_online_offered(self, stream: Stream, now: float) -> list[AdmissionEffect]:
        waiting_s = self._queue_wait_s()
        slack_s = stream.offer.deadline_at - now
        if waiting_s > min(self.cfg.online_wait_s, slack_s):
            self._roster.remove(stream)
            error = EngineFullError(
                f"a place at the engine is expected in {waiting_s:.1f} s",
                retry_after_s=max(RETRY_AFTER_S, waiting_s),
            )
            return [ShedStream(stream.stream_id, error.report())]
        return self._balance(now)

    def _on_ended(self, event: StreamEnded, now: float) -> list[AdmissionEffect]:
        stream = self._roster.get(event.stream_id)
        if stream is None:
            return []
        self._roster.remove(stream)
        if stream.is_online and stream.phase is not Phase.WAITING:
            self._learn_end(stream, now)
        return self._balance(now)

    def _learn_end(self, stream: Stream, now: float) -> None:
        tokens = stream.held_tokens - self._online_tokens
        self._online_tokens += MEAN_SHARE * tokens
        self._protection.on_online_end(stream)
        lasted_s = now - stream.started_at
        self._online_s += MEAN_SHARE * (lasted_s - self._online_s)

    def _on_tick(self, now: float) -> list[AdmissionEffect]:
        self._protection.advance(now)
        self._limit.adjust(now)
        effects = self._drop_late(now)
        effects += self._balance(now)
        effects += self._release_held(now)
        effects += self._ask_for_batch(now)
        return effects

    def _balance(self, now: float) -> list[AdmissionEffect]:
        starts = self._start_online(now)
        effects = self._take_back(now)
        effects += starts
        effects += self._start_batch(now)
        return effects

    def _start_online(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        effects: list[AdmissionEffect] = []
        limit = self._online_limit()
        for stream in tuple(roster.online_waiting.values()):
            if roster.online_running >= limit:
                break
            if stream.offer.alone and roster.has_suspect:
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
        roster = self._roster
        ahead = len(roster.online_waiting)
        if ahead == 0 or roster.online_running < self._online_limit():
            return 0.0
        return ahead * self._online_s / max(1, roster.online_running)

    def _take_back(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        cap = min(self._protection.batch_cap(now), self._limit.bound)
        excess = roster.batch_running - int(cap)
        if self._protection.is_active:
            excess = max(excess, len(roster.batch_reading))
        if excess <= 0:
            return []
        reading = list(roster.batch_reading.values())
        decoding = sorted(roster.batch_decoding.values(), key=lambda s: s.held_tokens)
        chosen = (reading + decoding)[:excess]
        for stream in chosen:
            is_cached = stream.phase is Phase.DECODING
            read_tokens = RESUME_READ_TOKENS if is_cached else stream.held_tokens
            stream.read_tokens = read_tokens
            roster.move(stream, Phase.PREEMPTED, now)
        return [PreemptStream(s.stream_id) for s in chosen]

    def _start_batch(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        effects: list[AdmissionEffect] = []
        if roster.online_waiting or roster.online_reading:
            return effects
        room = int(self._limit.streams) - roster.batch_running
        reading = sum(s.read_tokens for s in roster.batch_reading.values())
        while room > 0 and reading < self._first_tokens.chunk_tokens:
            stream = self._next_batch()
            if stream is None:
                break
            resumed = stream.phase is Phase.PREEMPTED
            self._refresh_read_tokens(stream, now)
            reading += stream.read_tokens
            room -= 1
            self._begin(stream, now)
            kind = ResumeStream if resumed else StartStream
            effects.append(kind(stream.stream_id))
        return effects

    def _refresh_read_tokens(self, stream: Stream, now: float) -> None:
        if stream.phase is Phase.PREEMPTED and now - stream.changed_at > CACHED_S:
            stream.read_tokens = stream.held_tokens

    def _next_batch(self) -> Stream | None:
        """Returns the stream to start next: taken back ones first, longest first."""
        roster = self._roster
        has_suspect = roster.has_suspect
        preempted = (
            stream
            for stream in roster.batch_preempted.values()
            if not (stream.offer.alone and has_suspect)
        )
        stream = max(preempted, key=lambda s: s.tokens, default=None)
        if stream is not None:
            return stream
        for waiting in roster.batch_waiting.values():
            if not (waiting.offer.alone and has_suspect):
                return waiting
        return None

    def _begin(self, stream: Stream, now: float) -> None:
        roster = self._roster
        stream.read_alone = not roster.is_reading
        if not stream.read_alone:
            for group in (roster.online_reading, roster.batch_reading):
                for other in group.values():
                    other.read_alone = False
        stream.started_at = now
        stream.steps_at_start = self._observer.step_count
        roster.move(stream, Phase.READING, now)

    def _drop_late(self, now: float) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        for stream in tuple(self._roster.online_waiting.values()):
            if now >= stream.offer.deadline_at:
                self._roster.remove(stream)
                error = DeadlineExceededError("the deadline passed before a start")
                effects.append(ShedStream(stream.stream_id, error.report()))
        return effects

    def _release_held(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        waiting = (*roster.batch_preempted.values(), *roster.batch_waiting.values())
        late = [s for s in waiting if now - s.changed_at > self.cfg.held_s]
        for stream in late:
            roster.remove(stream)
        return [ReleaseStream(s.stream_id) for s in late]

    def _ask_for_batch(self, now: float) -> list[AdmissionEffect]:
        if now - self._wanted_at < WANTED_INTERVAL_S:
            return []
        roster = self._roster
        room = max(0, int(self._limit.streams) - roster.batch_running)
        held = len(roster.batch_waiting) + len(roster.batch_preempted)
        items = min(room, self.cfg.ready_batch_streams) - held
        items += self.cfg.ready_batch_streams
        if items <= 0 or self._limit.streams < 1:
            return []
        self._wanted_at = now
        return [PullBatch(int(items * self._online_tokens), items)]
