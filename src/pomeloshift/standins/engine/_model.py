"""Simulates an engine's batching, memory and step times, without I/O."""

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

MAX_CACHE_EVENTS = 10_000
SNAPSHOT_INTERVAL_S = 0.05


class EngineModel:
    """Simulates continuous batching; sequences start first come, first served.

    Each step decodes one token of every running sequence and prefills up to a chunk
    of prompt tokens. The caller reads the time of `next_step_at` and calls `advance`
    at that time; times are in seconds of the caller's clock:

        model.submit(EngineWork("a", prompt_tokens=100, output_tokens=5), now=0.0)
        while (at := model.next_step_at()) is not None:
            outputs = model.advance(at)

    ``prefill_tokens`` counts all tokens prefilled. ``lost_tokens`` counts those that
    were prefilled again for a resumed sequence, or for a sequence that was cancelled
    before its first token. ``kv_used`` is the memory reserved for the sequences that
    have started, in tokens.
    """

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self.settings = settings
        self.crashed = False
        self.kv_used = 0
        self.prefill_tokens = 0
        self.lost_tokens = 0
        self._rng = rng
        self._step = 0
        self._completed_step = 0
        self._step_ends_at: float | None = None
        self._waiting: deque[Sequence] = deque()
        self._prefilling: deque[Sequence] = deque()
        self._decoding: dict[str, Sequence] = {}
        self._ready: list[Sequence] = []
        self._ends: dict[int, list[Sequence]] = {}
        self._sequences: dict[str, Sequence] = {}
        self._now = 0.0
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._event_number = 0
        self._loads: deque[EngineLoad] = deque()
        self._load_number = 0
        self._snapshot_at = float("-inf")
        self._cache = PrefixCache(settings.prefix_cache_tokens, self._on_cache_change)

    def submit(self, work: EngineWork, now: float) -> None:
        """Queues a sequence; it starts when a slot and enough memory are free."""
        kv_tokens = work.prompt_tokens + work.output_tokens
        sequence = Sequence(work, kv_tokens)
        self._sequences[work.stream_id] = sequence
        self._waiting.append(sequence)
        self._start_if_idle(now)

    def cancel(self, stream_id: str, now: float) -> int | None:
        """Stops a sequence and returns the tokens it has produced in all its runs.

        Returns `None` if the engine has no such sequence. If it was decoding, the
        blocks of its prompt and output stay in the prefix cache until evicted.
        """
        sequence = self._sequences.pop(stream_id, None)
        if sequence is None:
            return None
        self._now = now
        done = sequence.work.done_tokens + sequence.produced(self._completed_step)
        self._remove(sequence)
        return done

    def produced(self, stream_id: str) -> int:
        """Returns the tokens that a sequence has produced in this run.

        Raises `KeyError` if the engine has no such sequence.
        """
        return self._sequences[stream_id].produced(self._completed_step)

    def holds(self, stream_id: str) -> bool:
        """Returns whether the sequence waits or runs."""
        return stream_id in self._sequences

    @property
    def stream_ids(self) -> tuple[str, ...]:
        """The ids of all sequences that wait or run."""
        return tuple(self._sequences)

    @property
    def decoding(self) -> int:
        """The number of sequences that produce a token in each step."""
        return len(self._decoding)

    @property
    def decoding_ids(self) -> KeysView[str]:
        """The ids of the sequences that produce a token in each step."""
        return self._decoding.keys()

    @property
    def waiting(self) -> int:
        """The number of sequences that have no slot yet."""
        return len(self._waiting)

    def next_step_at(self) -> float | None:
        """Returns the end of the current step, or `None` if the engine is idle."""
        return self._step_ends_at

    def advance(self, now: float) -> list[EngineOutput]:
        """Completes the steps that end by ``now`` and returns their outputs."""
        outputs: list[EngineOutput] = []
        while self._step_ends_at is not None and self._step_ends_at <= now:
            self._end_step(self._step_ends_at, outputs)
        return outputs

    def crash(self, now: float) -> None:
        """Crashes the engine, which drops all sequences and the prefix cache."""
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
        """Lets a crashed engine accept work again, with empty memory."""
        self.crashed = False

    def export_kv(self, stream_id: str) -> tuple[Hashable, ...]:
        """Returns a sequence's cache blocks, for `import_kv` of another engine."""
        sequence = self._sequences.get(stream_id)
        return () if sequence is None else sequence.blocks_at(self._completed_step)

    def import_kv(self, blocks: tuple[Hashable, ...], now: float) -> None:
        """Stores exported blocks in the prefix cache."""
        self._now = now
        self._cache.store(blocks)

    def load(self, now: float) -> EngineLoad:
        """Returns the newest load snapshot that is at least ``load_lag_s`` old.

        Returns one with all values 0 if there is none.
        """
        self._snapshot(now)
        visible = now - self.settings.load_lag_s
        first = self._loads[0]
        return first if first.at <= visible else EngineLoad()

    def cache_events(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the cache events with a sequence number above ``after``.

        Events younger than ``cache_event_lag_s`` are left out.
        """
        visible = now - self.settings.cache_event_lag_s
        return [e for e in self._events if e.sequence > after and e.at <= visible]

    def _start_if_idle(self, now: float) -> None:
        if self._step_ends_at is None and not self.crashed:
            self._start_step(now)

    def _start_step(self, now: float) -> None:
        self._now = now
        if now - self._snapshot_at >= SNAPSHOT_INTERVAL_S:
            self._snapshot(now)
        self._admit()
        prefilled = self._prefill_prompts()
        if not self._decoding and not self._ready and not prefilled:
            self._step_ends_at = None
            return
        sequences = len(self._decoding)
        self._step += 1
        self._step_ends_at = now + self.settings.step_s(sequences, prefilled)

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
            blocks = blocks_with_output(work, work.done_tokens)
            total = work.prompt_tokens + work.done_tokens
            hit = min(self._cache.hit_tokens(blocks), total - 1)
            sequence.prefill_left = total - hit
            sequence.prefill_tokens = total - hit
            if work.done_tokens:
                self.lost_tokens += total - hit
            self._prefilling.append(sequence)

    def _prefill_prompts(self) -> int:
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
        self._completed_step = self._step
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
        self._start_step(at)

    def _start_decoding(
        self, sequence: Sequence, at: float, outputs: list[EngineOutput]
    ) -> None:
        work = sequence.work
        sequence.first_step = self._step
        self._decoding[work.stream_id] = sequence
        last_step = self._step + sequence.run_tokens - 1
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
            self._cache.store(sequence.blocks_at(self._completed_step))
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
