"""A small job with an earlier deadline beside a huge one, in virtual time.

The real decision core of batch dispatches their items.
"""

from random import Random

import attrs

from ...batch import (
    DispatchOrder,
    JobChunkStored,
    JobCreated,
    OwnerSettings,
    PartitionOwner,
    PartitionState,
    job_id_for,
    pull_all,
)
from ...log import Record
from ...wire import ItemOutcome, ItemPull
from ..routing._virtual_loop import VirtualLoop
from ._job_orders import JOB_ORDERS

SIDECARS = 5
SLOTS = 8
MEAN_ITEM_S = 4.0
MIN_ITEM_S = 0.5
ITEM_TOKENS = 100
CHUNK_ITEMS = 500
HUGE_ITEMS = 88_000
HUGE_WINDOW_S = 86_400.0
SMALL_ITEMS = 20
SMALL_WINDOW_S = 3_600.0
SMALL_SUBMITTED_AT_S = 60.0
TIME_LIMIT_S = 600.0
PULL_INTERVAL_S = 0.2
SERVICE = "model"


@attrs.frozen
class JobResult:
    """The run times of the small job in seconds, at most `TIME_LIMIT_S`."""

    alone_s: float
    beside_huge_s: float

    @property
    def ratio(self) -> float:
        """The time beside the huge job divided by the time alone."""
        return self.beside_huge_s / self.alone_s


class JobSimulation:
    """One partition's owner and sidecars that pull items for their free slots."""

    def __init__(self, order: DispatchOrder, seed: int) -> None:
        self._order = order
        self._seed = seed
        self._loop = VirtualLoop()
        self._owner = PartitionOwner(
            0, PartitionState(), OwnerSettings(), "entry", Random(seed)
        )
        self._offset = 0
        self._free = {f"server-{number}": SLOTS for number in range(SIDECARS)}
        self._nonce = 0
        self._small = ""

    def run(self, *, with_huge: bool) -> float:
        """Returns the time that the small job takes, in seconds."""
        if with_huge:
            self._submit("huge", HUGE_ITEMS, HUGE_WINDOW_S)
        self._loop.at(SMALL_SUBMITTED_AT_S, self._submit_small)
        self._pull_all()
        end = SMALL_SUBMITTED_AT_S + TIME_LIMIT_S
        while self._loop.now < end and not self._is_small_done():
            self._loop.run(self._loop.now + PULL_INTERVAL_S)
        return self._loop.now - SMALL_SUBMITTED_AT_S

    def _is_small_done(self) -> bool:
        job = self._owner.state.jobs.get(self._small)
        return job is not None and job.is_over

    def _submit_small(self) -> None:
        self._small = self._submit("small", SMALL_ITEMS, SMALL_WINDOW_S)

    def _submit(self, workspace: str, items: int, window_s: float) -> str:
        job_id = job_id_for(workspace, workspace, "", 1)
        firsts = range(0, items, CHUNK_ITEMS)
        for chunk, first in enumerate(firsts):
            count = min(CHUNK_ITEMS, items - first)
            lines = (b"{}",) * count
            tokens = (ITEM_TOKENS,) * count
            body = JobChunkStored(job_id, "d", chunk, first, lines, tokens)
            self._append(Record(f"{job_id}/{chunk}", body))
        created = JobCreated(
            job_id,
            "d",
            workspace,
            SERVICE,
            "/v1/chat/completions",
            "file",
            "24h",
            window_s,
            workspace,
            items,
            len(firsts),
            self._loop.now,
        )
        self._append(Record(f"{job_id}/created", created))
        return job_id

    def _append(self, record: Record) -> None:
        self._owner.apply(self._offset, record)
        self._offset += 1

    def _pull_all(self) -> None:
        for name in self._free:
            self._pull(name)
        self._loop.after(PULL_INTERVAL_S, self._pull_all)

    def _pull(self, name: str) -> None:
        free = self._free[name]
        if not free:
            return
        self._nonce += 1
        pull = ItemPull(
            name, 1, self._nonce, "region", SERVICE, free * ITEM_TOKENS, free
        )
        now = self._loop.now
        (decision,) = pull_all([self._owner], self._order, pull, now, now)
        for lease in decision.leases:
            self._free[name] -= 1
            seconds = self._item_s(lease.job_id, lease.index)
            self._loop.after(
                seconds, self._finish, name, lease.job_id, lease.index, lease.lease_id
            )

    def _finish(self, name: str, job_id: str, index: int, lease_id: str) -> None:
        outcome = ItemOutcome(0, job_id, index, lease_id, 200, b"{}", ITEM_TOKENS)
        now = self._loop.now
        record = self._owner.outcome(outcome, now, now)
        if record is not None:
            self._append(record)
        self._free[name] += 1
        self._pull(name)

    def _item_s(self, job_id: str, index: int) -> float:
        rng = Random(f"{self._seed}/{job_id}/{index}")
        return MIN_ITEM_S + rng.expovariate(1 / (MEAN_ITEM_S - MIN_ITEM_S))


def run_jobs(seed: int) -> dict[str, JobResult]:
    """Runs the small job alone and beside the huge one, in each dispatch order."""
    return {
        name: JobResult(
            JobSimulation(order(), seed).run(with_huge=False),
            JobSimulation(order(), seed).run(with_huge=True),
        )
        for name, order in JOB_ORDERS.items()
    }
