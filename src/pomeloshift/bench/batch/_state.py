"""Measures a large job's replay, memory and checkpoint."""

import tracemalloc
from random import Random
from time import perf_counter

from ...batch import (
    ItemCompleted,
    JobChunkStored,
    JobCreated,
    OwnerSettings,
    PartitionOwner,
    PartitionReplay,
    PartitionState,
    job_codec,
    job_id_for,
    restore_state,
    snapshot_state,
)
from ...log import Checkpoint, LogPage, Record, StoredRecord
from ...wire import ItemPull
from ._measures import StateMeasures

CHUNK_ITEMS = 500
LINE_BYTES = 600
RESPONSE_BYTES = 800
PAGE_RECORDS = 1000
ITEM_TOKENS = 400
PULL_ITEMS = 64
PULLS = 200
ENDPOINT = "/v1/chat/completions"


def measure_state(items: int) -> StateMeasures:
    """Returns the cost of a job of ``items`` items at its partition's owner."""
    stored = _stream(items)
    started = perf_counter()
    state = _replay(stored)
    replay_s = perf_counter() - started
    state_bytes = _memory_of_replay(stored)
    started = perf_counter()
    data = snapshot_state(state)
    checkpoint_s = perf_counter() - started
    started = perf_counter()
    restore_state(Checkpoint("c", state.next_offset, data))
    restore_s = perf_counter() - started
    return StateMeasures(
        items,
        len(stored),
        sum(len(each.data) for each in stored),
        replay_s,
        len(stored) / replay_s,
        state_bytes / items,
        len(data),
        checkpoint_s,
        restore_s,
        _pull_time(stored[: items // CHUNK_ITEMS + 2]),
    )


def _stream(items: int) -> list[StoredRecord]:
    codec = job_codec()
    records = [*_job_records(items), *_completions(items)]
    return [StoredRecord(n, codec.encode(rec)) for n, rec in enumerate(records)]


def _job_records(items: int) -> list[Record]:
    job_id = job_id_for("w", "bench", "", 1)
    records = []
    for chunk, first in enumerate(range(0, items, CHUNK_ITEMS)):
        count = min(CHUNK_ITEMS, items - first)
        lines = (b"x" * LINE_BYTES,) * count
        tokens = (ITEM_TOKENS,) * count
        stored = JobChunkStored(job_id, "d", chunk, first, lines, tokens)
        records.append(Record(f"{job_id}/{chunk}", stored))
    body = JobCreated(
        job_id,
        "d",
        "w",
        "lm",
        ENDPOINT,
        "file",
        "24h",
        86400.0,
        "bench",
        items,
        len(records),
        1.0,
    )
    return [*records, Record(f"{job_id}/created", body)]


def _completions(items: int) -> list[Record]:
    job_id = job_id_for("w", "bench", "", 1)
    response = b"y" * RESPONSE_BYTES
    indexes = list(range(items))
    Random(1).shuffle(indexes)
    return [
        Record(
            f"l{index}/done",
            ItemCompleted(job_id, index, f"l{index}", 200, response, 50, 2.0),
        )
        for index in indexes
    ]


def _replay(stored: list[StoredRecord]) -> PartitionState:
    replay = PartitionReplay(job_codec())
    while not replay.is_done:
        start = replay.next_offset
        page = tuple(stored[start : start + PAGE_RECORDS])
        replay.apply_page(LogPage(0, len(stored), page))
    return replay.state


def _memory_of_replay(stored: list[StoredRecord]) -> int:
    tracemalloc.start()
    state = _replay(stored)
    retained, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return retained


def _pull_time(stored: list[StoredRecord]) -> float:
    """Returns the mean time to lease an item of a large job, in seconds."""
    owner = PartitionOwner(0, _replay(stored), OwnerSettings(), "e1", Random(1))
    started = perf_counter()
    leased = 0
    for number in range(PULLS):
        pull = ItemPull(f"s{number}", 1, 1, "r", "lm", 10**9, PULL_ITEMS)
        leased += len(owner.pull(pull, 0.0, 0.0).leases)
    return (perf_counter() - started) / max(1, leased)
