"""The engine as a model without input or output."""

from collections import deque
from collections.abc import Hashable, KeysView
from random import Random

from ._prefix_cache import PrefixCache
from ._sequence import Sequence, blocks_with_output
from ._settings import EngineSettings
from ._work import (
    CacheEvent,
    EngineCrashed,
    EngineLoad,
    EngineOutput,
    EngineWork,
    FirstToken,
    WorkFinished,
)

MAX_KEPT_EVENTS = 10_000
SNAPSHOT_INTERVAL_S = 0.05


class EngineModel:
    """Batches sequences continuously, first come first served.

    ``prefill_tokens`` counts the prompt tokens read, ``lost_tokens`` those of them
    that were read again for a resumed sequence or belong to one that was cancelled
    before its first token.

    Each step decodes one token of every running sequence and reads up to a chunk of
    prompt tokens. The caller asks `next_step_at`, and at that time calls `advance`:

        model.submit(EngineWork("a", prompt_tokens=100, output_tokens=5), now=0.0)
        while (at := model.next_step_at()) is not None:
            outputs = model.advance(at)
    """

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self.settings = settings
        self.crashed = False
        self.kv_used = 0
        self.prefill_tokens = 0
        self.lost_tokens = 0
        self._rng = rng
        self._step = 0
        self._done_step = 0
        self._step_ends_at: float | None = None
        self._waiting: deque[Sequence] = deque()
        self._prefilling: deque[Sequence] = deque()
        self._decoding: dict[str, Sequence] = {}
        self._ready: list[Sequence] = []
        self._ends: dict[int, list[Sequence]] = {}
        self._sequences: dict[str, Sequence] = {}
        self._now = 0.0
        self._events: deque[CacheEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._event_number = 0
        self._loads: deque[EngineLoad] = deque()
        self._load_number = 0
        self._snapshot_at = float("-inf")
        self._cache = PrefixCache(settings.prefix_cache_tokens, self._on_cache_change)

    def submit(self, work: EngineWork, now: float) -> None:
        """Queues a sequence; it starts with the next step that has room for it."""
        kv_tokens = work.prompt_tokens + work.output_tokens
        sequence = Sequence(work, kv_tokens)
        self._sequences[work.stream_id] = sequence
        self._waiting.append(sequence)
        self._begin_if_idle(now)

    def cancel(self, stream_id: str, now: float) -> int | None:
        """Stops a sequence and returns the tokens it has produced in all its runs.

        Returns `None` if the engine holds no such sequence. What it read and
        produced stays in the prefix cache as far as there is room.
        """
        sequence = self._sequences.pop(stream_id, None)
        if sequence is None:
            return None
        self._now = now
        done = sequence.work.done_tokens + sequence.produced(self._done_step)
        self._remove(sequence)
        return done

    def produced(self, stream_id: str) -> int:
        """Returns the tokens that a known sequence produced in this run."""
        return self._sequences[stream_id].produced(self._done_step)

    def holds(self, stream_id: str) -> bool:
        """Tells whether the sequence waits or runs."""
        return stream_id in self._sequences

    @property
    def stream_ids(self) -> tuple[str, ...]:
        """All sequences that wait or run."""
        return tuple(self._sequences)

    @property
    def decoding(self) -> int:
        """The number of sequences that produce a token in each step."""
        return len(self._decoding)

    @property
    def decoding_ids(self) -> KeysView[str]:
        """The sequences that produce a token in each step."""
        return self._decoding.keys()

    @property
    def waiting(self) -> int:
        """The number of sequences that have no slot yet."""
        return len(self._waiting)

    def next_step_at(self) -> float | None:
        """Returns when the current step ends, or `None` if the engine is idle."""
        return self._step_ends_at

    def advance(self, now: float) -> list[EngineOutput]:
        """Ends the steps due by ``now`` and returns what they produced."""
        outputs: list[EngineOutput] = []
        while self._step_ends_at is not None and self._step_ends_at <= now:
            self._end_step(self._step_ends_at, outputs)
        return outputs

    def crash(self, now: float) -> None:
        """Loses all sequences and the cache."""
        self.crashed = True
        self._step_ends_at = None
        self.kv_used = 0
        self._now = now
        for container in (self._waiting, self._prefilling, self._ready):
            container.clear()
        self._decoding.clear()
        self._ends.clear()
        self._sequences.clear()
        self._cache = PrefixCache(
            self.settings.prefix_cache_tokens, self._on_cache_change
        )

    def restart(self) -> None:
        """Makes a crashed engine accept work again, with nothing in memory."""
        self.crashed = False

    def export_kv(self, stream_id: str) -> tuple[Hashable, ...]:
        """Returns the cache blocks of a sequence, to be imported elsewhere."""
        sequence = self._sequences.get(stream_id)
        return () if sequence is None else sequence.blocks_at(self._done_step)

    def import_kv(self, blocks: tuple[Hashable, ...], now: float) -> None:
        """Puts exported blocks into the prefix cache."""
        self._now = now
        self._cache.store(blocks)

    def load(self, now: float) -> EngineLoad:
        """Returns the newest snapshot that is at least the lag old."""
        self._snapshot(now)
        visible = now - self.settings.load_lag_s
        first = self._loads[0]
        return first if first.at <= visible else EngineLoad()

    def cache_events(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the published cache events with a sequence above ``after``."""
        visible = now - self.settings.cache_event_lag_s
        return [e for e in self._events if e.sequence > after and e.at <= visible]

    def _begin_if_idle(self, now: float) -> None:
        if self._step_ends_at is None and not self.crashed:
            self._begin_step(now)

    def _begin_step(self, now: float) -> None:
        self._now = now
        if now - self._snapshot_at >= SNAPSHOT_INTERVAL_S:
            self._snapshot(now)
        self._admit()
        budget = self._read_prompts()
        if not self._decoding and not self._ready and not budget:
            self._step_ends_at = None
            return
        sequences = len(self._decoding)
        self._step += 1
        self._step_ends_at = now + self.settings.step_s(sequences, budget)

    def _admit(self) -> None:
        cfg = self.settings
        while self._waiting:
            sequence = self._waiting[0]
            running = len(self._decoding) + len(self._prefilling) + len(self._ready)
            has_memory = self.kv_used + sequence.kv_tokens <= cfg.kv_tokens
            if running >= cfg.decode_slots or not (has_memory or running == 0):
                return
            self._waiting.popleft()
            self.kv_used += sequence.kv_tokens
            work = sequence.work
            known = blocks_with_output(work, work.done_tokens)
            total = work.prompt_tokens + work.done_tokens
            hit = min(self._cache.hit_tokens(known), total - 1)
            sequence.prefill_left = total - hit
            sequence.prefill_tokens = total - hit
            if work.done_tokens:
                self.lost_tokens += total - hit
            self._prefilling.append(sequence)

    def _read_prompts(self) -> int:
        budget = self.settings.prefill_chunk_tokens
        used = 0
        while self._prefilling and used < budget:
            sequence = self._prefilling[0]
            tokens = min(sequence.prefill_left, budget - used)
            sequence.prefill_left -= tokens
            used += tokens
            if sequence.prefill_left == 0:
                self._ready.append(self._prefilling.popleft())
        self.prefill_tokens += used
        return used

    def _end_step(self, at: float, outputs: list[EngineOutput]) -> None:
        self._now = at
        self._done_step = self._step
        for sequence in self._ready:
            if sequence.cancelled:
                continue
            if sequence.work.crashes:
                self.crash(at)
                outputs.append(EngineCrashed(at))
                return
            self._start_decoding(sequence, at, outputs)
        self._ready.clear()
        for sequence in self._ends.pop(self._step, ()):
            if not sequence.cancelled:
                self._finish(sequence, at, outputs)
        self._begin_step(at)

    def _start_decoding(
        self, sequence: Sequence, at: float, outputs: list[EngineOutput]
    ) -> None:
        work = sequence.work
        sequence.first_step = self._step
        self._decoding[work.stream_id] = sequence
        last_step = self._step + sequence.wanted - 1
        self._ends.setdefault(last_step, []).append(sequence)
        self._cache.store(work.blocks)
        outputs.append(FirstToken(work.stream_id, at))

    def _finish(
        self, sequence: Sequence, at: float, outputs: list[EngineOutput]
    ) -> None:
        stream_id = sequence.work.stream_id
        self._sequences.pop(stream_id, None)
        self._remove(sequence)
        outputs.append(WorkFinished(stream_id, at))

    def _remove(self, sequence: Sequence) -> None:
        sequence.cancelled = True
        if self._decoding.pop(sequence.work.stream_id, None) is not None:
            self.kv_used -= sequence.kv_tokens
            self._cache.store(sequence.blocks_at(self._done_step))
        elif sequence in self._waiting:
            self._waiting.remove(sequence)
        else:
            self.kv_used -= sequence.kv_tokens
            self.lost_tokens += sequence.prefill_tokens - sequence.prefill_left
            if sequence in self._prefilling:
                self._prefilling.remove(sequence)

    def _on_cache_change(self, block: Hashable, stored: bool) -> None:
        self._event_number += 1
        if self._rng.random() < self.settings.cache_event_gap:
            return
        event = CacheEvent(self._event_number, self._now, block, stored)
        self._events.append(event)

    def _snapshot(self, now: float) -> None:
        self._load_number += 1
        self._snapshot_at = now
        visible = now - self.settings.load_lag_s
        while len(self._loads) > 1 and self._loads[1].at <= visible:
            self._loads.popleft()
        waiting_tokens = sum(s.work.prompt_tokens for s in self._waiting)
        self._loads.append(
            EngineLoad(
                at=now,
                running=len(self._sequences) - len(self._waiting),
                waiting=len(self._waiting),
                waiting_tokens=waiting_tokens,
                kv_tokens_used=self.kv_used,
                kv_tokens=self.settings.kv_tokens,
                sequence=self._load_number,
            )
        )
