"""The state of all jobs, replayed from the job log."""

import attrs
import msgspec

from ..dispatch import SoftwareVersion
from ._fragments import Assembler, base_key
from ._item import Item, ItemState
from ._item_claim import ItemClaim
from ._item_routes import ItemRoutes
from ._job import DurableProgress, Job
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


@attrs.define
class JobTable:
    """Applies the records of one partition in the order of their offsets.

    Every entry applies the same records and therefore shows the same results at the
    same positions, even if records were written by several entries, repeatedly or late.
    ``unreadable`` counts the records that could not be decoded.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    next_offset: int = 0
    unreadable: int = 0
    _assembler: Assembler = attrs.field(factory=Assembler)
    _job_of_key: dict[str, str] = attrs.field(factory=dict)
    _fragment_keys: dict[str, list[str]] = attrs.field(factory=dict)

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
        return job.id if self._change(job, record) else None

    def waiting_tokens(self, queue: str, routes: ItemRoutes) -> int:
        """Returns the tokens of all unfinished items that wait in a queue."""
        return sum(
            routes.waiting_tokens(job, queue)
            for job in self.jobs.values()
            if job.is_open
        )

    def _accept(
        self, record: JobSubmitted, keys: list[str], now: float, wall: float
    ) -> str | None:
        known = self.jobs.get(record.job_id)
        if known is not None:
            known.keys.extend(keys)
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
        return job.id

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
        job_id = self._job_of_key.pop(base_key(key), None)
        if job_id is not None:
            self.jobs.pop(job_id, None)
