"""The state of all jobs, replayed from the job log."""

import attrs
import msgspec

from ..dispatch import SoftwareVersion
from ._fragments import Assembler, base_key
from ._item import Item, ItemState
from ._item_claim import ItemClaim
from ._item_routes import ItemRoutes
from ._job import DurableProgress, Job
from ._pending_tokens import PendingTokens
from ._records import (
    ItemFailed,
    ItemProgress,
    ItemReleased,
    ItemResumed,
    ItemSettled,
    JobEnded,
    JobSubmitted,
    decode_record,
)
from ._refused_job import RefusedJob

# Largest number of refused jobs that are remembered after their records were removed,
# so that the gateway that submitted one still finds the decision: many times the
# submissions that one gateway has under way.
MAX_REMOVED_REFUSALS = 1000


@attrs.define
class JobTable:
    """Applies the records of one partition in the order of their offsets.

    Every entry applies the same records and therefore shows the same results at the
    same positions, even if records were written by several entries, repeatedly or late.
    ``unreadable`` counts the records that could not be decoded.

    Whether a job fits under its cap follows from the records before its own, so all
    entries decide alike. ``refused`` holds the records that did not fit, by their keys
    without the fragment's number. Records of a finished job may be removed only after
    the refused ones of its queue that lie before its end, because a later replay would
    count fewer tokens for those; see `blocks_removal`.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    next_offset: int = 0
    unreadable: int = 0
    _assembler: Assembler = attrs.field(factory=Assembler)
    _job_of_key: dict[str, str] = attrs.field(factory=dict)
    _fragment_keys: dict[str, list[str]] = attrs.field(factory=dict)
    refused: dict[str, RefusedJob] = attrs.field(factory=dict)
    _pending: PendingTokens = attrs.field(factory=PendingTokens)

    def apply(
        self, offset: int, key: str, value: bytes | None, now: float, wall: float
    ) -> str | None:
        """Applies one record; returns the id of the job that it changed, or None.

        ``now`` is monotonic and ``wall`` is wall-clock time, both in seconds. Records
        that were applied before are skipped. A ``value`` of None removes the key.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        if value is None:
            self._remove(key)
            return None
        keys = self._fragment_keys.setdefault(base_key(key), [])
        keys.append(key)
        data = self._assembler.add(key, value)
        if data is None:
            return None
        self._fragment_keys.pop(base_key(key), None)
        return self._apply_record(data, keys, now, wall)

    def _apply_record(
        self, data: bytes, keys: list[str], now: float, wall: float
    ) -> str | None:
        try:
            record = decode_record(data)
        except msgspec.DecodeError:
            self.unreadable += 1
            return None
        if isinstance(record, JobSubmitted):
            return self._accept(record, keys, now, wall)
        job = self.jobs.get(record.job_id)
        if job is None:
            return None
        job.keys.extend(keys)
        if isinstance(record, ItemResumed):
            offset = self.next_offset - 1
            job.claim_item(record.index, ItemClaim(record.by, offset, now))
            return job.id
        owed = job.owed_tokens
        has_changed = self._change(job, record)
        self._pending.add(job.queue, job.workspace, job.owed_tokens - owed)
        if has_changed and isinstance(record, ItemSettled | JobEnded):
            job.closed_offset = self.next_offset - 1
        return job.id if has_changed else None

    def waiting_tokens(self, queue: str, routes: ItemRoutes) -> int:
        """Returns the tokens of all unfinished items that wait in a queue."""
        return sum(
            routes.waiting_tokens(job, queue)
            for job in self.jobs.values()
            if job.is_open
        )

    def moved_tokens(self, queue: str, routes: ItemRoutes, workspace: str = "") -> int:
        """Returns the tokens that wait in a queue, of jobs accepted on other queues.

        Only the items of one workspace's jobs count, unless ``workspace`` is empty.
        """
        return sum(
            routes.waiting_tokens(job, queue)
            for job in self.jobs.values()
            if job.is_open and job.queue != queue and workspace in ("", job.workspace)
        )

    def accepted_tokens(self, queue: str, workspace: str = "") -> int:
        """Returns the tokens of the unfinished items of the jobs accepted on a queue.

        This sum decides about a record with a cap. Unlike `waiting_tokens` it does not
        depend on the configuration. Only the items of one workspace's jobs count,
        unless ``workspace`` is empty.
        """
        return self._pending.of(queue, workspace)

    def blocks_removal(self, job: Job) -> bool:
        """Returns whether a refused record may have been refused because of a job.

        While it is stored, the job's records must stay.
        """
        return any(
            refusal.queue == job.queue and refusal.offset < job.closed_offset
            for refusal in self.refused.values()
            if not refusal.is_removed
        )

    def _accept(
        self, record: JobSubmitted, keys: list[str], now: float, wall: float
    ) -> str | None:
        known = self.jobs.get(record.job_id)
        if known is not None:
            known.keys.extend(keys)
            return None
        if self._refuse(record, keys, now):
            return None
        items = tuple(
            Item(item_id, path, tuple((n, v) for n, v in headers), body, tokens)
            for item_id, path, headers, body, tokens in record.items
        )
        age = max(0.0, wall - record.submitted_at)
        job = Job(
            record.job_id,
            record.queue,
            record.host,
            record.path,
            items,
            now - age,
            workspace=record.workspace,
        )
        job.keys.extend(keys)
        self.jobs[job.id] = job
        self._job_of_key[base_key(keys[0])] = job.id
        self._pending.add(job.queue, job.workspace, job.owed_tokens)
        return job.id

    def _refuse(self, record: JobSubmitted, keys: list[str], now: float) -> bool:
        """Notes a job that does not fit; returns whether it was refused."""
        tokens = sum(row[-1] for row in record.items)
        waiting = self.accepted_tokens(record.queue, record.workspace)
        if record.cap <= 0 or waiting + tokens <= record.cap:
            return False
        self.refused[base_key(keys[0])] = RefusedJob(
            record.job_id,
            record.queue,
            record.workspace,
            tokens,
            waiting,
            record.cap,
            self.next_offset - 1,
            tuple(keys),
            tuple(row[3] for row in record.items),
            now,
        )
        return True

    @staticmethod
    def _change(
        job: Job,
        record: ItemSettled | ItemFailed | ItemProgress | ItemReleased | JobEnded,
    ) -> bool:
        if isinstance(record, ItemSettled):
            state = ItemState.DONE if record.is_done else ItemState.DEAD
            return job.finish_item(record.index, state, record.text)
        if isinstance(record, ItemFailed):
            job.failures.setdefault(record.index, []).append(record.engine)
        elif isinstance(record, ItemProgress):
            software = SoftwareVersion(record.service, record.version)
            progress = DurableProgress(record.event_id, record.text, software)
            job.note_progress(record.index, progress)
            job.release_item(record.index, record.by)
        elif isinstance(record, ItemReleased):
            job.release_item(record.index, record.by)
        else:
            job.is_ended = True
        return True

    def _remove(self, key: str) -> None:
        base = base_key(key)
        refusal = self.refused.get(base)
        if refusal is not None:
            refusal.is_removed = True
            self._forget_refusals()
        job_id = self._job_of_key.pop(base, None)
        job = self.jobs.pop(job_id, None) if job_id is not None else None
        if job is not None:
            self._pending.add(job.queue, job.workspace, -job.owed_tokens)

    def _forget_refusals(self) -> None:
        removed = [key for key, one in self.refused.items() if one.is_removed]
        for key in removed[: max(0, len(removed) - MAX_REMOVED_REFUSALS)]:
            del self.refused[key]
