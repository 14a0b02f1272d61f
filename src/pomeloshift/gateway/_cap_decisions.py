"""Appends jobs with a cap and learns from the log whether they were accepted."""

from typing import Any

import attrs

from ..errors import PomeloshiftError, Ran
from ..jobs import JobSubmitted, RefusedJob, base_key
from ._events import EventLog
from ._job_log import JobLog
from ._log_writer import LogTimeoutError
from ._refused_records import RefusedRecords
from ._sleep import sleep

# How long the decision is waited for once the record is durable, including the removal
# of a refused record: a submission may take four seconds in total.
DECISION_TIMEOUT_S = 1.2
# Pause between two attempts to read the log.
READ_RETRY_S = 0.1
# How long a record without a known outcome may still be applied: the store applies a
# call without a response within some seconds or never.
UNDECIDED_S = 10.0


@attrs.define
class CapDecisions:
    """Finds out whether the log accepts the jobs that this gateway appends.

    A job with a cap is accepted or refused by its record's place in the log, the same
    at every gateway. A refused record is removed before the refusal is reported: then
    not even a gateway of an earlier version can accept it.
    """

    log: JobLog
    refused: RefusedRecords
    events: EventLog
    reactor: Any
    clock: Any
    _undecided: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    async def append(self, record: JobSubmitted, until: float) -> bool:
        """Appends a record with a cap; returns whether its job is accepted.

        ``until`` is when the append has to be durable, in monotonic seconds. Raises
        `LogUnavailableError` if the record is not in the log and never will be, and
        `LogTimeoutError` if the decision is not known, or not final, in time.
        """
        append = self.log.append(record)
        key = base_key(append.records[0][0])
        now = self.clock.monotonic()
        self._undecided[key] = (record.job_id, now)
        try:
            await self.log.writer.wait(append, until - now)
        except LogTimeoutError as exc:
            # The record may be in the log all the same, so one read is worth its time.
            self.events.info("job_append_unknown", id=record.job_id, why=exc.message)
        except PomeloshiftError as exc:
            if exc.ran is Ran.NO:
                del self._undecided[key]
            raise
        until = self.clock.monotonic() + DECISION_TIMEOUT_S
        is_accepted = await self._read_decision(record.job_id, key, until)
        if not is_accepted:
            is_accepted = await self._confirm_refusal(
                self.log.table.refused[key], until
            )
        self._undecided.pop(key, None)
        return is_accepted

    def note_undecided(self, job_id: str) -> None:
        """Notes that a record of a job without a cap has an unknown outcome."""
        self._undecided[job_id] = (job_id, self.clock.monotonic())

    def is_undecided(self, job_id: str) -> bool:
        """Returns whether an earlier record of a job may still be accepted.

        A repeat of the job must not be refused without a record of its own, which the
        log decides about after the earlier one.
        """
        now = self.clock.monotonic()
        self._undecided = {
            key: (name, since)
            for key, (name, since) in self._undecided.items()
            if now - since < UNDECIDED_S
        }
        return any(name == job_id for name, _ in self._undecided.values())

    def _decision(self, job_id: str, key: str) -> bool | None:
        """Returns whether the job is accepted, None if its record is not replayed."""
        if job_id in self.log.table.jobs:
            return True
        return False if key in self.log.table.refused else None

    async def _read_decision(self, job_id: str, key: str, until: float) -> bool:
        decision = self._decision(job_id, key)
        while decision is None:
            try:
                await self.log.follower.catch_up()
            except PomeloshiftError as exc:
                if self.clock.monotonic() >= until:
                    raise LogTimeoutError(
                        f"the log could not be read to the job's record: {exc.message}"
                    ) from exc
                await sleep(self.reactor, READ_RETRY_S)
            else:
                if self._decision(job_id, key) is None:
                    raise LogTimeoutError("the log does not hold the job's record")
            decision = self._decision(job_id, key)
        return decision

    async def _confirm_refusal(self, refusal: RefusedJob, until: float) -> bool:
        """Removes a refused record; returns whether a repeat was accepted meanwhile."""
        if not refusal.is_removed:
            removal = self.refused.remove(refusal)
            try:
                await self.log.writer.wait(removal, until - self.clock.monotonic())
            except PomeloshiftError as exc:
                raise LogTimeoutError(
                    f"the refused record could not be removed: {exc.message}"
                ) from exc
        if refusal.job_id in self.log.table.jobs:
            return True
        self.events.info(
            "job_over_cap",
            id=refusal.job_id,
            queue=refusal.queue,
            workspace=refusal.workspace,
            tokens=refusal.tokens,
            waiting=refusal.waiting,
            cap=refusal.cap,
            offset=refusal.offset,
        )
        return False
