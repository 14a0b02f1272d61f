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
MAX_BATCH_STEP_SHARE = 0.10


class Policy(Protocol):
    """Decides which streams an engine runs; `Admission` is one."""

    def handle(self, event: AdmissionEvent, now: float) -> list[AdmissionEffect]:
        """Handles an event and returns the effects."""

    def load(self, now: float) -> LoadReport:
        """Returns the load report for the router."""


@attrs.define(eq=False)
class _Stream:
    """A stream of this server; each of its tokens passes the same ``event``.

    ``extra_s`` is the network latency by which its first token arrives later.
    """

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
    has_batch_prefill: bool


class SimulatedServer:
    """Passes events between an engine model and its policy; records measurements."""

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
        self._streams: dict[str, _Stream] = {}
        self._online_prefill: set[str] = set()
        self._batch_prefill: set[str] = set()
        self._online: set[str] = set()
        self._batch: set[str] = set()
        self._step: _Step | None = None
        self._prefill_tokens_before = 0
        self._bursts: dict[int, float] = {}
        self._pulls: deque[int] = deque()
        self._finished: frozenset[str] = frozenset()

    def offer_online(self, arrival: Arrival, extra_s: float, now: float) -> None:
        """Offers an arrival; ``extra_s`` is the network latency of its response."""
        stream_id = f"o{arrival.number}"
        work = EngineWork(
            stream_id, arrival.prompt_tokens, arrival.output_tokens, arrival.blocks
        )
        stream = _Stream(stream_id, work, TokensArrived(stream_id, 1), arrival=arrival)
        stream.extra_s = extra_s
        self._streams[stream_id] = stream
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
        """Passes an event to the policy and applies the effects."""
        for effect in self.policy.handle(event, now):
            self._apply(effect, now)

    def end_step(self, now: float) -> None:
        """Ends the engine step that is due at ``now``."""
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
            self._discard(stream_id)
        self._note_step(now)
        if self._needs_tokens:
            self._send_tokens((*decoded, *started), seen_at)
        for stream_id in finished:
            del self._streams[stream_id]
            self.send(StreamEnded(stream_id), seen_at)
        self._finished = frozenset()

    def deliver_batch(self, items: int, now: float) -> None:
        """Offers ``items`` items of the backlog to the policy."""
        for _ in range(items):
            item, done = self._backlog.take()
            stream_id = f"b{item.number}"
            work = EngineWork(
                stream_id, item.prompt_tokens, item.output_tokens, item.blocks, done
            )
            event = TokensArrived(stream_id, 1)
            self._streams[stream_id] = _Stream(stream_id, work, event, item=item)
            offer = StreamOffered(
                stream_id,
                Priority.BATCH,
                item.prompt_tokens + done,
                item.output_tokens - done,
                now + BATCH_DEADLINE_S,
            )
            self.send(offer, now)

    def finish(self, now: float) -> None:
        """Ends the run; the delays of bursts that batch work still delays end now."""
        for at in self._bursts.values():
            if at >= 0:
                self._measures.give_back_s.append(now - at)

    def take_pulls(self) -> list[int]:
        """Returns the item count of each pull since the last call."""
        pulls = list(self._pulls)
        self._pulls.clear()
        return pulls

    def _send_tokens(self, stream_ids: tuple[str, ...], now: float) -> None:
        handle = self.policy.handle
        streams = self._streams
        for stream_id in stream_ids:
            for effect in handle(streams[stream_id].event, now):
                self._apply(effect, now)

    def _apply(self, effect: AdmissionEffect, now: float) -> None:
        if isinstance(effect, PreemptStream | ResumeStream):
            # Ignored for a stream that ended in this step: its `StreamEnded` is sent to
            # the policy next.
            if effect.stream_id in self._finished:
                return
        if isinstance(effect, StartStream | ResumeStream):
            self._start(self._streams[effect.stream_id], now)
        elif isinstance(effect, PreemptStream):
            self._preempt(self._streams[effect.stream_id], now)
        elif isinstance(effect, PullBatch):
            self._pulls.append(effect.items)
        elif isinstance(effect, ReleaseStream):
            stream = self._streams.pop(effect.stream_id)
            assert stream.item is not None
            self._backlog.return_item(stream.item, stream.work.done_tokens)
        elif isinstance(effect, ShedStream):
            stream = self._streams.pop(effect.stream_id)
            assert stream.arrival is not None
            self._measures.add_shed(stream.arrival.at)

    def _start(self, stream: _Stream, now: float) -> None:
        was_idle = self.model.next_step_at() is None
        prefilling = self._online_prefill if stream.arrival else self._batch_prefill
        prefilling.add(stream.stream_id)
        self.model.submit(stream.work, now)
        if was_idle:
            self._note_step(now)

    def _preempt(self, stream: _Stream, now: float) -> None:
        done = self.model.cancel(stream.stream_id, now)
        self._discard(stream.stream_id)
        stream.work = attrs.evolve(stream.work, done_tokens=done or 0)
        self._measures.take_backs += 1

    def _discard(self, stream_id: str) -> None:
        for group in (
            self._online,
            self._batch,
            self._online_prefill,
            self._batch_prefill,
        ):
            group.discard(stream_id)

    def _on_first_token(self, stream_id: str, now: float) -> None:
        stream = self._streams[stream_id]
        if stream.arrival is None:
            self._batch_prefill.discard(stream_id)
            self._batch.add(stream_id)
            self._measures.add_batch_tokens(now, 1)
            return
        self._online_prefill.discard(stream_id)
        self._online.add(stream_id)
        waited_s = now - stream.arrival.at + stream.extra_s
        self._measures.first_tokens_s.append((stream.arrival.at, waited_s))

    def _note_step(self, now: float) -> None:
        if self.model.next_step_at() is None:
            self._step = None
            return
        has_batch_prefill = bool(self._batch_prefill)
        self._step = _Step(now, len(self._online), len(self._batch), has_batch_prefill)

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
        prefilled = self.model.prefill_tokens - self._prefill_tokens_before
        self._prefill_tokens_before = self.model.prefill_tokens
        self.use.add(now, online, prefilled, online + len(self._online_prefill))

    def _measure_bursts(self, now: float) -> None:
        """Ends the delay of the bursts that batch work did not delay in this step.

        Batch work delays no burst in a step without batch prefill in which batch
        decoding took at most `MAX_BATCH_STEP_SHARE`, nor in a step within the target
        after which no online stream is waiting for its first token. A burst is counted
        once: its time is then set to -1.
        """
        step = self._step
        if step is None:
            return
        step_s = now - step.begins_at
        settings = self.model.settings
        batch_s = settings.step_per_sequence_s * step.batch / settings.speed
        is_mostly_online = (
            not step.has_batch_prefill and batch_s <= MAX_BATCH_STEP_SHARE * step_s
        )
        meets_target = not self._online_prefill and step_s <= self.use.window_s
        if not (is_mostly_online or meets_target):
            return
        begun = [n for n, at in self._bursts.items() if at <= step.begins_at]
        for burst in begun:
            at = self._bursts.pop(burst)
            if at >= 0:
                self._measures.give_back_s.append(now - at)
            self._bursts[burst] = -1.0
