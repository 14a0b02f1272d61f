"""Checks that the fault matrix detects a disabled safety check.

Each mutant disables one check; the cell that covers the check must then count more
violations of the given kind than before.
"""

import attrs
import pytest

from pomeloshift.attempts import AttemptRegistry, OnlineRequest, SuspectTracker
from pomeloshift.attempts import _retry_plan as retry_plan
from pomeloshift.attempts._crash_record import QuarantineState
from pomeloshift.attempts._open_result import OpenOutcome, OpenResult
from pomeloshift.attempts._record import AttemptRecord
from pomeloshift.attempts._retry_scope import RetryScope
from pomeloshift.batch import PartitionState
from pomeloshift.bench.faults import Cell, Fault, Step, run_cell
from pomeloshift.config import ConfigHolder, ConfigState
from pomeloshift.entry.batch import _job_store as job_store
from pomeloshift.entry.batch import _service as job_service
from pomeloshift.entry.calls import _claimer as claimer
from pomeloshift.membership import Drain, EngineCommands, HeldLeases

SEEDS = (1, 2)


@pytest.fixture(autouse=True)
def disable_logging():
    from loguru import logger

    logger.remove()


def skip_the_read_back(patch):
    patch.setattr(claimer, "_check", lambda state, key: None)


def drop_the_fencing_check(patch):
    held = HeldLeases.held

    def held_after_expiry(self, name, now):
        lease = held(self, name, now)
        self._last_lease = lease or getattr(self, "_last_lease", None)
        if self._last_lease is None:
            return None
        return attrs.evolve(self._last_lease, expires_at=now + 100.0)

    patch.setattr(HeldLeases, "held", held_after_expiry)
    read = EngineCommands.read

    def read_without_fencing(self, reading, now):
        if reading is not None:
            reading = attrs.evolve(reading, fencing_number=0)
        return read(self, reading, now)

    patch.setattr(EngineCommands, "read", read_without_fencing)


def accept_any_base_version(patch):
    decide = ConfigState._decide_publication

    def accept(self, offset, record):
        body = attrs.evolve(record.body, base_version=self.version)
        decide(self, offset, attrs.evolve(record, body=body))

    patch.setattr(ConfigState, "_decide_publication", accept)


def accept_a_lower_version(patch):
    offer = ConfigHolder.offer

    def accept(self, version, document):
        if document and version != self.version:
            self.version = -1
        return offer(self, version, document)

    patch.setattr(ConfigHolder, "offer", accept)


def respond_before_the_append(patch):
    async def append_job(self, call):
        commit = self._runner.commit

        async def commit_at_once(records, timeout_s=None):
            self._runner.post(records)
            for record in records:
                offset = self._runner.state.next_offset
                self._runner.state.apply(offset, record)
                self._runner.state.next_offset = offset

        self._runner.commit = commit_at_once
        try:
            await append(self, call)
        finally:
            self._runner.commit = commit

    append = job_store.JobStore._append_job
    patch.setattr(job_store.JobStore, "_append_job", append_job)


def ignore_the_idempotency_key(patch):
    count = iter(range(1000))
    make = job_service.job_id_for

    def unique_job_id(workspace, key, request, partitions):
        return make(workspace, f"{key}-{next(count)}", request, partitions)

    patch.setattr(job_service, "job_id_for", unique_job_id)


def run_a_known_attempt_again(patch):
    def start(self, req, now):
        if req.join_only:
            return OpenResult(OpenOutcome.STARTED)
        self._records[req.attempt_id] = AttemptRecord(req.attempt_id, req.alone)
        return OpenResult(OpenOutcome.STARTED)

    patch.setattr(AttemptRegistry, "open", start)


def accept_any_frame(patch):
    take = OnlineRequest._on_frame

    def accept_frame(self, frame, now):
        sequence = self._sequence
        total = None if frame.total is None else sequence + 1
        fields = {"attempt_id": self.attempt_id, "sequence": sequence, "total": total}
        take(self, attrs.evolve(frame, **fields), now)

    patch.setattr(OnlineRequest, "_on_frame", accept_frame)


def retry_whatever_ran(patch):
    def retry_scope(error, *, idempotent):
        return RetryScope.ELSEWHERE

    patch.setattr(retry_plan, "retry_scope", retry_scope)


def never_quarantine(patch):
    patch.setattr(
        SuspectTracker, "quarantine_state", lambda *args: QuarantineState.CLEAR
    )
    patch.setattr(retry_plan, "MAX_CRASHES", 100)


def accept_work_while_draining(patch):
    patch.setattr(Drain, "accepts_work", True)


def ignore_cancellations(patch):
    patch.setattr(PartitionState, "_cancel_job", lambda *args: False)
    from pomeloshift.batch import _state

    patch.setitem(_state._handlers, _state.JobCancelled, lambda *args: False)


MUTANTS = [
    (skip_the_read_back, Step.CALL_CLAIM, (Fault.DUPLICATE_SUBMIT,), "doubled"),
    (drop_the_fencing_check, Step.ENGINE_ORDER, (Fault.IGNORES_FENCING,), "reverted"),
    (
        accept_any_base_version,
        Step.CONFIG_APPEND,
        (Fault.CONFLICTING_OPERATORS,),
        "lost",
    ),
    (accept_a_lower_version, Step.APPLY, (Fault.LATE_ANSWER,), "reverted"),
    (respond_before_the_append, Step.SUBMIT_APPEND, (Fault.PROCESS_DEATH,), "lost"),
    (
        ignore_the_idempotency_key,
        Step.ACKNOWLEDGE,
        (Fault.DUPLICATE_SUBMIT,),
        "doubled",
    ),
    (run_a_known_attempt_again, Step.CALL_RUN, (Fault.SILENT_CONNECTION,), "doubled"),
    (accept_any_frame, Step.MID_STREAM, (Fault.CROSSED_ANSWERS,), "crossed"),
    (retry_whatever_ran, Step.CALL_RUN, (Fault.PROCESS_DEATH,), "doubled"),
    (never_quarantine, Step.MID_STREAM, (Fault.POISON_REQUEST,), "poisoned"),
    (accept_work_while_draining, Step.DRAIN, (Fault.STALE_LIST,), "orphaned"),
    (ignore_cancellations, Step.CANCEL, (), "lost"),
]


def count(cell, kind):
    return sum(getattr(run_cell(cell, seed).counts, kind) for seed in SEEDS)


@pytest.mark.parametrize(("mutate", "step", "faults", "kind"), MUTANTS)
def test_disabled_check_is_detected_by_its_cell(
    mutate, step, faults, kind, monkeypatch
):
    cell = Cell(step, faults)
    baseline = count(cell, kind)
    with monkeypatch.context() as patch:
        mutate(patch)
        weakened = count(cell, kind)
    assert weakened > baseline
