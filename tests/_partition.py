"""A partition's stream in memory, with any number of owners that apply it."""

from random import Random

from pomeloshift.batch import (
    ChoiceRules,
    ItemStatus,
    JobChunkStored,
    JobCreated,
    OwnerSettings,
    PartitionOwner,
    PartitionState,
    job_id_for,
)
from pomeloshift.log import Record
from pomeloshift.wire import ItemOutcome, ItemPull

SETTINGS = OwnerSettings(lease_s=10, retry_delay_s=0, max_tries=3, suspect_delay_s=0)
TOKENS = 100


def job_records(
    key,
    items=4,
    workspace="w",
    window_s=86400.0,
    created_at=0.0,
    digest="d",
    chunk_items=500,
    **fields,
):
    job_id = job_id_for(workspace, key, "", 1)
    records = []
    for chunk, first in enumerate(range(0, items, chunk_items)):
        count = min(chunk_items, items - first)
        body = JobChunkStored(
            job_id, digest, chunk, first, (b"{}",) * count, (TOKENS,) * count
        )
        records.append(Record(f"{job_id}/{digest}/{chunk}", body))
    body = JobCreated(
        job_id,
        digest,
        workspace,
        "lm",
        "/v1/chat/completions",
        "file-000-x",
        "24h",
        window_s,
        key,
        items,
        len(records),
        created_at,
        **fields,
    )
    records.append(Record(f"{job_id}/{digest}/created", body))
    return job_id, records


class Partition:
    """Appends records to one stream and applies them to every owner."""

    def __init__(self):
        self.records = []
        self.owners = []

    def add_owner(self, name="entry-1", seed=1):
        state = PartitionState()
        for offset, record in enumerate(self.records):
            state.apply(offset, record)
        owner = PartitionOwner(0, state, SETTINGS, name, Random(f"{name}{seed}"))
        self.owners.append(owner)
        return owner

    def append(self, records):
        for record in records:
            self.records.append(record)
            for owner in self.owners:
                owner.apply(len(self.records) - 1, record)

    def add_job(self, *args, **kwargs):
        job_id, records = job_records(*args, **kwargs)
        self.append(records)
        return job_id

    def pull(self, owner, now=0.0, instance="s1", nonce=1, items=10, **fields):
        pull = ItemPull(
            instance,
            fields.pop("incarnation", 1),
            nonce,
            "r",
            "lm",
            fields.pop("tokens", 10_000),
            items,
            fields.pop("held", None),
        )
        decision = owner.pull(pull, now, now, ChoiceRules(**fields))
        self.append(decision.records)
        return decision

    def tick(self, owner, start, end):
        """Ticks every second; the I/O layer ticks more often than that."""
        for now in range(start, end + 1):
            self.append(owner.tick(now, now))

    def finish(self, owner, lease, now=0.0, status=200, error=None, body=b"{}"):
        outcome = ItemOutcome(
            0, lease.job_id, lease.index, lease.lease_id, status, body, 5, error
        )
        record = owner.outcome(outcome, now, now)
        if record is not None:
            self.append([record])
        return record


def statuses(owner, job_id):
    return [ItemStatus(value).name for value in owner.state.jobs[job_id].status]
