"""The decisions of one backend server's admission."""

from ..model import LoadReport
from ._config import AdmissionConfig
from ._errors import DeadlinePassedError, EngineFullError
from ._first_token_model import FirstTokenModel
from ._messages import (
    AdmissionEffect,
    AdmissionEvent,
    BatchWanted,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    StreamOffered,
    TakeBackStream,
    Tick,
    TokensArrived,
)
from ._observer import Observer
from ._pace_goal import PaceGoal
from ._roster import Roster
from ._shadow_queue import ShadowQueue
from ._step_model import StepModel
from ._stream import Phase, Stream

LATE_SHARE = 0.04
FIRST_BATCH_LIMIT = 8.0
SLOW_START_GROWTH = 1.0
GROWTH_SHARE = 0.1
HARD_LIMIT_SHARE = 1.12
ONLINE_SHARE = 0.02
RESUME_READ_TOKENS = 10
CACHED_S = 20.0
WANTED_INTERVAL_S = 0.1
MEAN_SHARE = 0.05
FIRST_STREAM_TOKENS = 1000.0
FIRST_STREAM_S = 5.0
RETRY_AFTER_S = 1.0


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
        self._shadow = ShadowQueue(self._steps)
        self._batch_limit = FIRST_BATCH_LIMIT
        self._wanted_at = float("-inf")
        self._mean_online = 0.0
        self._online_s = FIRST_STREAM_S
        self._online_tokens = FIRST_STREAM_TOKENS
        self._sequence = 0

    def reconfigure(self, cfg: AdmissionConfig) -> None:
        """Applies other settings; what was learnt of the engine is kept."""
        self.cfg = cfg
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
        roster = self._roster
        self._sequence += 1
        online = [s for s in roster.streams if s.is_online]
        batch = [s for s in roster.streams if not s.is_online]
        capacity = self._online_limit() * self._online_tokens
        return LoadReport(
            online_streams=len(online),
            batch_streams=len(batch),
            online_tokens=sum(s.tokens_left for s in online),
            batch_tokens=sum(s.tokens_left for s in batch),
            queued_online=len(roster.online_waiting),
            itl_s=self._observer.gap_s,
            capacity_tokens=int(min(capacity, 1e12)),
            sequence=self._sequence,
        )

    def _on_tokens(
        self, stream: Stream, tokens: int, now: float
    ) -> list[AdmissionEffect]:
        if stream.phase in (Phase.WAITING, Phase.TAKEN_BACK):
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
        self._shadow.on_output(stream.tokens)
        lasted_s = now - stream.started_at
        self._online_s += MEAN_SHARE * (lasted_s - self._online_s)

    def _on_tick(self, now: float) -> list[AdmissionEffect]:
        self._shadow.advance(now, self._first_tokens.chunk_tokens)
        self._adjust_limit()
        effects = self._drop_late(now)
        effects += self._balance(now)
        effects += self._release_held(now)
        effects += self._ask_for_batch(now)
        return effects

    def _adjust_limit(self) -> None:
        roster = self._roster
        limit = self._batch_limit
        online = len(roster.online_decoding)
        self._mean_online += ONLINE_SHARE * (online - self._mean_online)
        if self._steps.is_fitted:
            step_s = self._pace.goal_s - self._steps.read_extra_s
            room = self._steps.sequences_within(step_s)
            wanted = room - max(online, self._mean_online)
            limit = min(wanted, limit + max(1.0, GROWTH_SHARE * limit))
        elif roster.batch_running + 1 >= limit:
            if self._observer.gap_s < self._pace.goal_s - self._steps.read_extra_s:
                limit += SLOW_START_GROWTH
        self._batch_limit = max(0.0, min(limit, self.cfg.max_batch_streams))

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
            self._protect(stream, now)
            self._begin(stream, now)
            effects.append(StartStream(stream.stream_id))
        return effects

    def _protect(self, stream: Stream, now: float) -> None:
        roster = self._roster
        model = self._first_tokens
        stream.read_tokens = model.uncached_tokens(stream.offer.prompt_tokens)
        tokens = stream.read_tokens + self._online_tokens_ahead()
        online = len(roster.online_decoding)
        chunk = model.chunk_tokens
        self._shadow.advance(now, chunk)
        alone_s = self._shadow.wait_s(stream.read_tokens, chunk)
        model.observe_wait(alone_s)
        queued = len(roster.online_reading) > self.cfg.queue_streams
        quantile = self.cfg.queue_quantile if queued else self.cfg.tail_quantile
        limit_s = max(model.tail_s(quantile), alone_s * self.cfg.tail_ratio)
        room = model.sequences_within(tokens, limit_s) - online
        stream.max_batch = max(0.0, room)
        batch_ahead = sum(s.read_tokens for s in roster.batch_reading.values())
        with_batch_s = model.wait_s(tokens + batch_ahead, roster.decoding)
        stream.is_protected = with_batch_s > limit_s

    def _online_tokens_ahead(self) -> float:
        """Estimates the online prompt tokens that the engine has still to read."""
        chunk = self._first_tokens.chunk_tokens
        ahead = 0.0
        read = float("inf")
        for stream in self._roster.online_reading.values():
            ahead += stream.read_tokens
            read = min(
                read, (self._observer.step_count - stream.steps_at_start) * chunk
            )
        return max(0.0, ahead - read) if ahead else 0.0

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

    def _protected_cap(self) -> float:
        reading = self._roster.online_reading.values()
        if len(reading) >= self.cfg.burst_streams:
            return 0.0
        return min((s.max_batch for s in reading), default=float("inf"))

    def _is_protecting(self) -> bool:
        reading = self._roster.online_reading.values()
        return any(s.is_protected for s in reading)

    def _take_back(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        hard_limit = HARD_LIMIT_SHARE * self._batch_limit
        excess = roster.batch_running - int(min(self._protected_cap(), hard_limit))
        if self._is_protecting():
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
            roster.move(stream, Phase.TAKEN_BACK, now)
        return [TakeBackStream(s.stream_id) for s in chosen]

    def _start_batch(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        effects: list[AdmissionEffect] = []
        if roster.online_waiting or self._is_protecting():
            return effects
        cap = min(self._protected_cap(), self._batch_limit)
        room = int(cap) - roster.batch_running
        reading = sum(s.read_tokens for s in roster.batch_reading.values())
        while room > 0 and reading < self._first_tokens.chunk_tokens:
            stream = self._next_batch()
            if stream is None:
                break
            resumed = stream.phase is Phase.TAKEN_BACK
            self._refresh_read_tokens(stream, now)
            reading += stream.read_tokens
            room -= 1
            self._begin(stream, now)
            kind = ResumeStream if resumed else StartStream
            effects.append(kind(stream.stream_id))
        return effects

    def _refresh_read_tokens(self, stream: Stream, now: float) -> None:
        if stream.phase is Phase.TAKEN_BACK and now - stream.changed_at > CACHED_S:
            stream.read_tokens = stream.held_tokens

    def _next_batch(self) -> Stream | None:
        roster = self._roster
        taken_back = roster.batch_taken_back.values()
        stream = max(taken_back, key=lambda s: s.tokens, default=None)
        if stream is not None:
            return stream
        suspect_runs = roster.has_suspect
        for stream in roster.batch_waiting.values():
            if not (stream.offer.alone and suspect_runs):
                return stream
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
                error = DeadlinePassedError("the deadline passed before a start")
                effects.append(ShedStream(stream.stream_id, error.report()))
        return effects

    def _release_held(self, now: float) -> list[AdmissionEffect]:
        roster = self._roster
        waiting = (*roster.batch_taken_back.values(), *roster.batch_waiting.values())
        late = [s for s in waiting if now - s.changed_at > self.cfg.held_s]
        for stream in late:
            roster.remove(stream)
        return [ReleaseStream(s.stream_id) for s in late]

    def _ask_for_batch(self, now: float) -> list[AdmissionEffect]:
        if now - self._wanted_at < WANTED_INTERVAL_S:
            return []
        roster = self._roster
        room = max(0, int(self._batch_limit) - roster.batch_running)
        held = len(roster.batch_waiting) + len(roster.batch_taken_back)
        items = min(room, self.cfg.ready_batch_streams) - held
        items += self.cfg.ready_batch_streams
        if items <= 0 or self._batch_limit < 1:
            return []
        self._wanted_at = now
        return [BatchWanted(int(items * self._online_tokens), items)]
