"""One simulated backend server: an engine and the policy in front of it."""

from collections import deque
from random import Random
from typing import Protocol

import attrs

from ...admission import (
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
    TokensArrived,
)
from ...model import LoadReport, Priority
from ...standins.engine import EngineModel, EngineWork, FirstToken, WorkFinished
from ._backlog import Backlog
from ._measures import Measures
from ._online_use import OnlineUse
from ._trace import Arrival, BatchItem

ONLINE_DEADLINE_S = 30.0
BATCH_DEADLINE_S = 8 * 3600.0
CLOCK_NOISE_S = 0.0005
PACE_TOLERANCE = 0.10


class Policy(Protocol):
    """What decides in front of an engine; `Admission` is one."""

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionEffect]:
        """Takes an event and returns the effects."""

    def load(self, now: float) -> LoadReport:
        """Returns the load that routers see."""


@attrs.define(eq=False)
class _Job:
    """A stream of this server; ``event`` is reused for each of its tokens."""

    stream_id: str
    work: EngineWork
    event: TokensArrived
    arrival: Arrival | None = None
    item: BatchItem | None = None
    extra_s: float = 0.0


@attrs.frozen
class _Step:
    """The contents of the step that the engine is running."""

    begins_at: float
    online: int
    batch: int
    reads_batch: bool


class SimulatedServer:
    """Carries events between one engine model, its policy and the measures."""

    def __init__(
        self,
        model: EngineModel,
        policy: Policy,
        backlog: Backlog,
        measures: Measures,
        use: OnlineUse,
        rng: Random,
    ) -> None:
        self.model = model
        self.policy = policy
        self.use = use
        self._needs_tokens = getattr(policy, "needs_tokens", True)
        self._backlog = backlog
        self._measures = measures
        self._rng = rng
        self._jobs: dict[str, _Job] = {}
        self._online_reading: set[str] = set()
        self._batch_reading: set[str] = set()
        self._online: set[str] = set()
        self._batch: set[str] = set()
        self._step: _Step | None = None
        self._read_before = 0
        self._bursts: dict[int, float] = {}
        self._pulls: deque[int] = deque()
        self._finished: frozenset[str] = frozenset()

    def offer_online(self, arrival: Arrival, extra_s: float, now: float) -> None:
        """Takes an arrival; ``extra_s`` is the time its answer takes to travel."""
        stream_id = f"o{arrival.number}"
        work = EngineWork(
            stream_id, arrival.prompt_tokens, arrival.output_tokens, arrival.blocks
        )
        job = _Job(stream_id, work, TokensArrived(stream_id, 1), arrival=arrival)
        job.extra_s = extra_s
        self._jobs[stream_id] = job
        if arrival.burst >= 0:
            self._bursts.setdefault(arrival.burst, now)
        offer = StreamOffered(
            stream_id,
            Priority.ONLINE,
            arrival.prompt_tokens,
            arrival.output_tokens,
            now + ONLINE_DEADLINE_S,
        )
        self.send(offer, now)

    def send(self, event: AdmissionEvent, now: float) -> None:
        """Hands an event to the policy and carries out the effects."""
        for effect in self.policy.handle(event, now):
            self._apply(effect, now)

    def end_step(self, now: float) -> None:
        """Ends the engine's step that is due at ``now``."""
        decoded = tuple(self.model.decoding_ids)
        self._measure_step(now)
        outputs = self.model.advance(now)
        seen_at = now + self._rng.random() * CLOCK_NOISE_S
        finished = [o.stream_id for o in outputs if isinstance(o, WorkFinished)]
        self._finished = frozenset(finished)
        started = [o.stream_id for o in outputs if isinstance(o, FirstToken)]
        for stream_id in started:
            self._on_first_token(stream_id, now)
        if self._bursts:
            self._measure_bursts(now)
        for stream_id in finished:
            self._forget(stream_id)
        self._note_step(now)
        if self._needs_tokens:
            self._send_tokens((*decoded, *started), seen_at)
        for stream_id in finished:
            del self._jobs[stream_id]
            self.send(StreamEnded(stream_id), seen_at)
        self._finished = frozenset()

    def deliver_batch(self, items: int, now: float) -> None:
        """Hands items of the backlog to the policy."""
        for _ in range(items):
            item, done = self._backlog.take()
            stream_id = f"b{item.number}"
            work = EngineWork(
                stream_id, item.prompt_tokens, item.output_tokens, item.blocks, done
            )
            event = TokensArrived(stream_id, 1)
            self._jobs[stream_id] = _Job(stream_id, work, event, item=item)
            offer = StreamOffered(
                stream_id,
                Priority.BATCH,
                item.prompt_tokens + done,
                item.output_tokens - done,
                now + BATCH_DEADLINE_S,
            )
            self.send(offer, now)

    def finish(self, now: float) -> None:
        """Ends the run: bursts that were never given room count until now."""
        for at in self._bursts.values():
            if at >= 0:
                self._measures.give_back_s.append(now - at)

    def take_pulls(self) -> list[int]:
        """Returns the numbers of items that were asked for since the last call."""
        pulls = list(self._pulls)
        self._pulls.clear()
        return pulls

    def _send_tokens(self, stream_ids: tuple[str, ...], now: float) -> None:
        handle = self.policy.handle
        jobs = self._jobs
        for stream_id in stream_ids:
            for effect in handle(jobs[stream_id].event, now):
                self._apply(effect, now)

    def _apply(self, effect: AdmissionEffect, now: float) -> None:
        if isinstance(effect, PreemptStream | ResumeStream):
            # The end of these streams is on its way to the policy.
            if effect.stream_id in self._finished:
                return
        if isinstance(effect, StartStream | ResumeStream):
            self._start(self._jobs[effect.stream_id], now)
        elif isinstance(effect, PreemptStream):
            self._take_back(self._jobs[effect.stream_id], now)
        elif isinstance(effect, PullBatch):
            self._pulls.append(effect.items)
        elif isinstance(effect, ReleaseStream):
            job = self._jobs.pop(effect.stream_id)
            assert job.item is not None
            self._backlog.give_back(job.item, job.work.done_tokens)
        elif isinstance(effect, ShedStream):
            job = self._jobs.pop(effect.stream_id)
            assert job.arrival is not None
            self._measures.add_shed(job.arrival.at)

    def _start(self, job: _Job, now: float) -> None:
        was_idle = self.model.next_step_at() is None
        reading = self._online_reading if job.arrival else self._batch_reading
        reading.add(job.stream_id)
        self.model.submit(job.work, now)
        if was_idle:
            self._note_step(now)

    def _take_back(self, job: _Job, now: float) -> None:
        done = self.model.cancel(job.stream_id, now)
        self._forget(job.stream_id)
        job.work = attrs.evolve(job.work, done_tokens=done or 0)
        self._measures.take_backs += 1

    def _forget(self, stream_id: str) -> None:
        for group in (
            self._online,
            self._batch,
            self._online_reading,
            self._batch_reading,
        ):
            group.discard(stream_id)

    def _on_first_token(self, stream_id: str, now: float) -> None:
        job = self._jobs[stream_id]
        if job.arrival is None:
            self._batch_reading.discard(stream_id)
            self._batch.add(stream_id)
            self._measures.add_batch_tokens(now, 1)
            return
        self._online_reading.discard(stream_id)
        self._online.add(stream_id)
        waited_s = now - job.arrival.at + job.extra_s
        self._measures.first_tokens_s.append((job.arrival.at, waited_s))

    def _note_step(self, now: float) -> None:
        if self.model.next_step_at() is None:
            self._step = None
            return
        reads_batch = bool(self._batch_reading)
        self._step = _Step(now, len(self._online), len(self._batch), reads_batch)

    def _measure_step(self, now: float) -> None:
        step = self._step
        if step is None:
            return
        step_s = now - step.begins_at
        online = len(self._online)
        if online:
            self._measures.add_gap(now, step_s, online)
        if self._batch:
            self._measures.add_batch_tokens(now, len(self._batch))
        read = self.model.prefill_tokens - self._read_before
        self._read_before = self.model.prefill_tokens
        self.use.add(now, online, read, online + len(self._online_reading))

    def _measure_bursts(self, now: float) -> None:
        """Ends the give-back of bursts that the step which ended now served well.

        That is a step in which batch work took no more than a tenth, or one within
        the target after which no online stream waits for its first token.
        """
        step = self._step
        if step is None:
            return
        step_s = now - step.begins_at
        settings = self.model.settings
        batch_s = settings.step_per_sequence_s * step.batch / settings.speed
        is_alone = not step.reads_batch and batch_s <= PACE_TOLERANCE * step_s
        is_served = not self._online_reading and step_s <= self.use.window_s
        if not (is_alone or is_served):
            return
        begun = [n for n, at in self._bursts.items() if at <= step.begins_at]
        for burst in begun:
            at = self._bursts.pop(burst)
            if at >= 0:
                self._measures.give_back_s.append(now - at)
            self._bursts[burst] = -1.0
