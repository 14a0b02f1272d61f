"""Stores the bodies and the record of a new job."""

from typing import Any

import attrs

from ..errors import PomeloshiftError, Ran
from ..jobs import BlobRef, CapRoom, JobSubmitted, NewItem
from ..platform import CallerRequest, without_caller_fields
from ..workspaces import Caller
from ._blob_store import BlobStore
from ._cap_decisions import CapDecisions
from ._job_log import JobLog
from ._log_writer import LogTimeoutError, LogUnavailableError
from ._timing import SUBMIT_TIMEOUT_S, SUBMIT_TOTAL_S


@attrs.define
class JobStore:
    """Stores jobs that were checked, so that they become durable all or not at all."""

    log: JobLog
    blobs: BlobStore
    decisions: CapDecisions
    clock: Any

    async def store(
        self,
        req: CallerRequest,
        room: CapRoom,
        items: tuple[NewItem, ...],
        caller: Caller,
    ) -> bool:
        """Stores the bodies and then the job record, which refers to them.

        Returns whether the job is accepted; without a cap it always is. Raises
        `LogUnavailableError` if it is certainly not accepted and never will be, and
        `LogTimeoutError` if that is not known.
        """
        until = self.clock.monotonic() + SUBMIT_TOTAL_S
        try:
            refs = await self.blobs.put(
                req.id,
                [item.body for item in items],
                SUBMIT_TOTAL_S,
                SUBMIT_TIMEOUT_S,
            )
        except LogTimeoutError as exc:
            # Only the job record refers to the bodies. It was not appended, so the job
            # is certainly not accepted.
            raise LogUnavailableError(exc.message) from exc
        until = min(until, self.clock.monotonic() + SUBMIT_TIMEOUT_S)
        record = self._record(req, room, items, refs, caller)
        try:
            return await self._append(record, until)
        except PomeloshiftError as exc:
            if exc.ran is Ran.NO:
                self.blobs.remove(refs)
            raise

    async def _append(self, record: JobSubmitted, until: float) -> bool:
        if record.cap:
            return await self.decisions.append(record, until)
        try:
            await self.log.append_within(record, until - self.clock.monotonic())
        except LogTimeoutError:
            self.decisions.note_undecided(record.job_id)
            raise
        return True

    def _record(
        self,
        req: CallerRequest,
        room: CapRoom,
        items: tuple[NewItem, ...],
        bodies: list[BlobRef],
        caller: Caller,
    ) -> JobSubmitted:
        rows = [
            (item.id, item.path, _stored_headers(item, caller), body, item.tokens)
            for item, body in zip(items, bodies, strict=True)
        ]
        wall = self.clock.wall()
        return JobSubmitted(
            req.id,
            room.queue,
            req.host,
            req.path,
            wall,
            rows,
            room.workspace,
            room.record_cap,
        )


def _stored_headers(item: NewItem, caller: Caller) -> list[tuple[str, str]]:
    """Returns the headers of an item for the log, which all gateways read."""
    if caller.name is None:
        return list(item.headers)
    return without_caller_fields(item.headers)
