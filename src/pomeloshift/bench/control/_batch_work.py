"""The control work of a partition's owner."""

from random import Random
from typing import Any

import attrs

from ...batch import (
    ChoiceRules,
    JobChunkStored,
    JobCreated,
    OwnerSettings,
    PartitionOwner,
    PartitionState,
    job_codec,
    job_id_for,
)
from ...log import Record
from ...wire import ItemOutcome, ItemPull
from ._fixtures import BODY_BYTES
from ._workload import Outcome, Workload

ROLE = "entry"
CHUNK_ITEMS = 500
ITEM_TOKENS = 600
PULL_ITEMS = 8


@attrs.frozen
class LoadedPartition:
    """An owner with one job; ``next_offset`` is that of the next record."""

    owner: PartitionOwner
    next_offset: int
    items: int


def make_job(items: int) -> list[Record]:
    """Returns the log records of a job with ``items`` items."""
    job_id = job_id_for("workspace-001", "key", "", 1)
    records = []
    for chunk, first in enumerate(range(0, items, CHUNK_ITEMS)):
        count = min(CHUNK_ITEMS, items - first)
        lines = tuple(b"x" * BODY_BYTES for _ in range(count))
        tokens = (ITEM_TOKENS,) * count
        body = JobChunkStored(job_id, "digest", chunk, first, lines, tokens)
        records.append(Record(f"{job_id}/{chunk}", body))
    created = JobCreated(
        job_id,
        "digest",
        "workspace-001",
        "lm-a",
        "/v1/chat/completions",
        "file-000-x",
        "24h",
        86_400.0,
        "key",
        items,
        len(records),
        0.0,
    )
    return [*records, Record(f"{job_id}/created", created)]


def replay_job(payloads: list[bytes]) -> Outcome:
    """Decodes and replays a job's records; the items' bodies are not counted."""
    codec = job_codec()
    state = PartitionState()
    for offset, payload in enumerate(payloads):
        state.apply(offset, codec.decode(payload))
    items = sum(job.items for job in _jobs(state))
    return Outcome(state, sum(map(len, payloads)) - items * BODY_BYTES)


def run_items(loaded: LoadedPartition) -> Outcome:
    """Leases all items, handles their results and applies the completions."""
    owner = loaded.owner
    codec = job_codec()
    offset = loaded.next_offset
    size = 0
    done = 0
    nonce = 0
    while done < loaded.items:
        nonce += 1
        pull = ItemPull("b1", 1, nonce, "region-1", "lm-a", 1_000_000, PULL_ITEMS)
        decision = owner.pull(pull, 0.0, 0.0, ChoiceRules())
        for lease in decision.leases:
            record = owner.outcome(_outcome(lease), 0.0, 0.0)
            if record is not None:
                payload = codec.encode(record)
                size += len(payload) - BODY_BYTES
                owner.apply(offset, codec.decode(payload))
                offset += 1
            done += 1
    return Outcome(owner, size)


def _outcome(lease: Any) -> ItemOutcome:
    body = b"x" * BODY_BYTES
    return ItemOutcome(0, lease.job_id, lease.index, lease.lease_id, 200, body, 60)


def _jobs(state: PartitionState) -> list[Any]:
    return list(state.jobs.values())


def _payloads(count: int) -> list[bytes]:
    codec = job_codec()
    return [codec.encode(record) for record in make_job(count)]


def _loaded(count: int) -> LoadedPartition:
    state = PartitionState()
    records = make_job(count)
    for offset, record in enumerate(records):
        state.apply(offset, record)
    owner = PartitionOwner(0, state, OwnerSettings(), "entry-1", Random(1))
    return LoadedPartition(owner, len(records), count)


BATCH_WORK = (
    Workload(
        ROLE, "job fold", "item", _payloads, replay_job, sizes=(1000, 5000, 20_000)
    ),
    Workload(ROLE, "item run", "item", _loaded, run_items, sizes=(500, 1000, 2000)),
)
