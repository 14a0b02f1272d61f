"""Assigns the items of a partition to sidecars."""

from collections.abc import Sequence
from random import Random
from typing import Any

import attrs

from ..errors import Ran
from ..log import Record
from ..wire import ItemOutcome, ItemPull, LeaseRelease
from ._chooser import ChoiceRules, ChosenItem, ItemQueues, choose_items
from ._decisions import PullDecision, PullStart
from ._dispatch import DispatchOrder
from ._job_state import ItemStatus, JobState
from ._lease import Lease, LeasePhase, lease_id_for, parse_lease_id
from ._lease_table import LeaseTable
from ._outcomes import OutcomeKind, outcome_kind
from ._owner_records import (
    cancel_record,
    claim_record,
    completion_record,
    crash_record,
    unknown_outcome_record,
    withdrawal_record,
)
from ._owner_settings import OwnerSettings
from ._records import (
    AttemptStarted,
    AttemptWithdrawn,
    ItemCompleted,
    ItemStruck,
    JobCancelled,
    JobCreated,
)
from ._resumes import ResumeStore
from ._state import PartitionState

OWNER_ID_BITS = 48
NO_PULL: tuple[int, int, tuple[str, ...]] = (-1, -1, ())


class PartitionOwner:
    """Leases the items of a partition and turns outcomes into records.

    Leases are held in memory only: another owner of the same partition, at the same
    time or later, can lease an item again, and the first completion in the stream wins.
    The I/O layer has to append every record that a method returns; the item is not
    leased again until the record was applied. ``now`` is monotonic and ``wall`` the
    time since the epoch, both in seconds.

        owner.apply(offset, record)               # for each record of the stream
        decision = owner.pull(pull, now, wall)    # leases, and records to append
        record = owner.outcome(outcome, now, wall)
        records = owner.tick(now, wall)           # for leases that expired
    """

    def __init__(
        self,
        partition: int,
        state: PartitionState,
        settings: OwnerSettings,
        name: str,
        rng: Random,
    ) -> None:
        self.partition = partition
        self.state = state
        self.settings = settings
        self._id = f"{name}-{rng.getrandbits(OWNER_ID_BITS):012x}"
        self._granted = 0
        self._now = 0.0
        self._ticked_at = float("-inf")
        self._queues = ItemQueues(state)
        self._order = DispatchOrder()
        self._leases = LeaseTable()
        self._pulls: dict[str, tuple[int, int, tuple[str, ...]]] = {}
        self._cancelling: set[str] = set()
        self._tries: dict[tuple[str, int], int] = {}
        self._resumes = ResumeStore(settings.resume_bytes)
        self._withdrawals: list[Record] = []
        self._crash_reported_at: dict[str, float] = {}
        self._unanswered: list[tuple[float, Lease]] = []
        self._unconfirmed: dict[tuple[str, int], list[Lease]] = {}

    @property
    def leased(self) -> int:
        """The number of leases, including those that wait for a record."""
        return len(self._leases)

    def apply(self, offset: int, record: Record) -> bool:
        """Applies a record to state and leases; returns whether it had an effect."""
        has_changed = self.state.apply(offset, record)
        if has_changed:
            self._on_applied(record.body)
        return has_changed

    def adopt_claims(self, now: float) -> None:
        """Adopts the claims of earlier owners, and extends all leases from ``now``.

        The sidecars that run these items thus have time to report to this owner.
        """
        for job in self.state.jobs.values():
            for index, attempt in job.attempts.items():
                if attempt.attempt_id not in self._leases:
                    self._adopt(job, index, attempt.attempt_id, attempt.instance, 0)
        for lease in self._leases:
            lease.expires_at = now + self.settings.lease_s
        self._ticked_at = now

    def pull(
        self, pull: ItemPull, now: float, wall: float, rules: ChoiceRules | None = None
    ) -> PullDecision:
        """Leases items to a sidecar and renews the leases that it holds.

        A pull with the nonce of the previous one gets the same leases; one with an
        older nonce gets none.
        """
        return pull_all([self], self._order, pull, now, wall, rules)[0]

    def begin_pull(self, pull: ItemPull, now: float, wall: float) -> PullStart:
        """Reconciles the leases that a sidecar holds, before items are chosen."""
        self._now = now
        known = self._pulls.get(pull.instance, NO_PULL)
        if (pull.incarnation, pull.nonce) < known[:2]:
            return PullStart(decision=PullDecision())
        records = self._reconcile_leases(pull, now, wall)
        if (pull.incarnation, pull.nonce) == known[:2]:
            return PullStart(decision=self._repeat(pull, known[2], records))
        return PullStart(tuple(records))

    def end_pull(
        self, pull: ItemPull, start: PullStart, items: list[ChosenItem], now: float
    ) -> PullDecision:
        """Leases the chosen items to the sidecar that pulled."""
        if start.decision is not None:
            return start.decision
        leases = [self._grant(item.job, item.index, pull, now) for item in items]
        self._remember_pull(pull, leases)
        claiming = (le for le in leases if le.phase is LeasePhase.CLAIMING)
        claims = tuple(claim_record(lease) for lease in claiming)
        return PullDecision(
            tuple(leases), start.records + claims, self._cancelled_leases(pull)
        )

    def holds_suspect(self, instance: str) -> bool:
        """Returns whether a sidecar holds a suspect, which has to run exclusively."""
        return any(lease.is_exclusive for lease in self._leases.of_instance(instance))

    @property
    def choices(self) -> tuple[ItemQueues, set[str]]:
        """The queues to choose from, and the ids of jobs that are being cancelled."""
        return self._queues, self._cancelling

    def confirm_claim(self, lease_id: str, now: float) -> bool:
        """Starts the run of a lease if its claim is the first in the stream.

        Otherwise the lease is dropped. Returns whether the run was started. Called
        after the claim's record was applied.
        """
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        job = self.state.jobs.get(lease.job_id)
        attempt = job.attempts.get(lease.index) if job is not None else None
        if attempt is None or attempt.attempt_id != lease_id:
            self._drop(lease, now)
            return False
        lease.phase = LeasePhase.RUNNING
        lease.expires_at = now + self.settings.lease_s
        return True

    def abandon(self, lease_id: str, now: float) -> None:
        """Drops a lease whose claim could not be committed.

        If its claim reaches the stream nevertheless, `tick` withdraws it.
        """
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._drop(lease, now)

    def withdraw(self, lease_id: str, now: float, wall: float) -> list[Record]:
        """Ends a running lease whose item could not be sent to the sidecar.

        A committed claim needs a record that withdraws it. Returns records to append.
        """
        self._now = now
        lease = self._leases.get(lease_id)
        if lease is None:
            return []
        job = self._job_of_waiting(lease.job_id, lease.index)
        if job is None or job.is_repeatable:
            self._drop(lease, now)
            return []
        lease.phase = LeasePhase.COMMITTING
        return [withdrawal_record(lease.job_id, lease.index, lease_id)]

    def record_crash_report(self, instance: str, now: float) -> None:
        """Records that a sidecar reported a crash of its engine."""
        self._crash_reported_at.setdefault(instance, now)
        while len(self._crash_reported_at) > self.settings.remembered_pulls:
            del self._crash_reported_at[next(iter(self._crash_reported_at))]

    def on_heartbeat(self, instance: str, incarnation: int, now: float) -> None:
        """Records that a sidecar is alive.

        The crashes counted for its expired leases stay uncertain. Only a pull renews
        leases, because it names those that the sidecar holds. A lease whose grant did
        not reach the sidecar thus expires.
        """
        self._unconfirmed.pop((instance, incarnation), None)

    def resume_of(self, lease: Lease) -> bytes:
        """Returns the resume token of the lease's item, or empty bytes."""
        return self._resumes.get((lease.job_id, lease.index))

    def outcome(self, outcome: ItemOutcome, now: float, wall: float) -> Record | None:
        """Processes the outcome of a run, whether or not its lease is known here.

        Returns the record to append, `None` if the outcome changes no durable state.
        The caller acknowledges the outcome once the record was applied.
        """
        self._now = now
        lease = self._leases.get(outcome.lease_id)
        job = self._job_of_waiting(outcome.job_id, outcome.index)
        if job is None:
            if lease is not None:
                self._drop(lease, now)
            return None
        kind = outcome_kind(outcome.status, outcome.error)
        if job.is_repeatable:
            record = self._idempotent_outcome(outcome, kind, lease, wall)
        else:
            record = _non_idempotent_outcome(outcome, kind, wall)
        if record is not None:
            self._reserve(outcome, lease)
        elif lease is not None:
            self._drop(lease, now)
        return record

    def reopen(self, lease_id: str, now: float) -> None:
        """Sets a lease to running again after its outcome could not be appended."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return
        if not lease.instance:
            self._drop(lease, now)
            return
        lease.phase = LeasePhase.RUNNING
        lease.expires_at = now + self.settings.lease_s

    def release(self, release: LeaseRelease, now: float, wall: float) -> list[Record]:
        """Ends the leases that a sidecar releases; returns records to append."""
        self._now = now
        records = []
        resumes = dict(zip(release.lease_ids, release.resumes, strict=False))
        for lease_id in release.lease_ids:
            lease = self._leases.get(lease_id)
            if lease is None or lease.phase is not LeasePhase.RUNNING:
                continue
            resume = resumes.get(lease_id, b"")
            records += self._release_lease(lease, now, wall, resume)
        return records

    def instance_lost(
        self, instance: str, incarnation: int, now: float, wall: float
    ) -> list[Record]:
        """Counts a crash for the items that were running on a lost backend server.

        Leases of a later incarnation continue, and so do those that a live sidecar
        got after it had itself reported the crash of its engine. Returns records to
        append.
        """
        self._now = now
        reported_at = self._crash_reported_at.pop(instance, None)
        lost = [
            lease
            for lease in self._leases.of_instance(instance)
            if lease.incarnation <= incarnation
            and lease.phase is LeasePhase.RUNNING
            and (reported_at is None or lease.granted_at < reported_at)
        ]
        records = self._end_lost_runs(lost, True, now, wall)
        unconfirmed = self._pop_unanswered(instance, incarnation)
        for key in [key for key in self._unconfirmed if key[0] == instance]:
            if key[1] <= incarnation:
                unconfirmed += self._unconfirmed.pop(key)
        in_time = [
            lease
            for lease in unconfirmed
            if reported_at is None or lease.granted_at < reported_at
        ]
        records += self._confirm_crashes(in_time, wall)
        return records

    def tick(self, now: float, wall: float) -> list[Record]:
        """Ends the expired leases; returns records to append.

        Called several times per ``lease_s``. After a pause of this process, in which no
        sidecar could renew a lease, all leases are extended instead.
        """
        self._now = now
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s > self.settings.lease_s / 2:
            for lease in self._leases:
                lease.expires_at = max(lease.expires_at, now + self.settings.lease_s)
        records, self._withdrawals = self._withdrawals, []
        expired = self._leases.expired(now)
        for lease in expired:
            self._note_unconfirmed(lease)
        return records + self._end_lost_runs(expired, False, now, wall)

    def cancel(self, job_id: str, wall: float) -> Record | None:
        """Stops leasing a job's items; returns the record that makes this durable."""
        job = self.state.jobs.get(job_id)
        if job is None or job.is_over:
            return None
        self._cancelling.add(job_id)
        return cancel_record(job_id, wall)

    def is_cancelling(self, job_id: str) -> bool:
        """Returns whether a cancellation is in effect but not yet in the stream."""
        return job_id in self._cancelling

    def _on_applied(self, body: Any) -> None:
        if isinstance(body, JobCreated):
            self._queues.open(self.state.jobs[body.job_id])
        elif isinstance(body, ItemCompleted):
            self._finish_item(body.job_id, body.index)
        elif isinstance(body, ItemStruck):
            self._on_crash(body)
        elif isinstance(body, AttemptStarted):
            self._on_claim(body)
        elif isinstance(body, AttemptWithdrawn):
            self._on_withdrawal(body)
        elif isinstance(body, JobCancelled):
            self._close(body.job_id)

    def _on_crash(self, body: ItemStruck) -> None:
        if self._job_of_waiting(body.job_id, body.index) is None:
            self._finish_item(body.job_id, body.index)
        else:
            self._end_lease(body.lease_id, self.settings.suspect_delay_s)

    def _on_claim(self, body: AttemptStarted) -> None:
        name = parse_lease_id(body.attempt_id)
        is_own = name is not None and name.owner == self._id
        if is_own and body.attempt_id not in self._leases:
            self._withdrawals.append(
                withdrawal_record(body.job_id, body.index, body.attempt_id)
            )

    def _on_withdrawal(self, body: AttemptWithdrawn) -> None:
        queue = self._queues.get(body.job_id)
        if body.attempt_id in self._leases:
            self._end_lease(body.attempt_id)
        elif queue is not None and not queue.is_taken(body.index):
            queue.put_back(body.index, self._now)

    def _end_lease(self, lease_id: str, delay_s: float | None = None) -> None:
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._drop(lease, self._now, delay_s)

    def _finish_item(self, job_id: str, index: int) -> None:
        queue = self._queues.get(job_id)
        if queue is not None:
            queue.remove(index)
        self._tries.pop((job_id, index), None)
        self._resumes.remove((job_id, index))
        for lease in self._leases.of_item(job_id, index):
            self._leases.remove(lease)
        if self.state.jobs[job_id].is_over:
            self._close(job_id)

    def _close(self, job_id: str) -> None:
        self._cancelling.discard(job_id)
        self._queues.close(job_id)
        self._resumes.remove_job(job_id)
        for key in [key for key in self._tries if key[0] == job_id]:
            del self._tries[key]
        for lease in self._leases.of_job(job_id):
            if lease.phase is not LeasePhase.RUNNING:
                self._leases.remove(lease)

    def _reserve(self, outcome: ItemOutcome, lease: Lease | None) -> None:
        """Prevents leases of an item until the record of its outcome is applied."""
        queue = self._queues.get(outcome.job_id)
        if lease is None and queue is not None and not queue.is_taken(outcome.index):
            key = (outcome.lease_id, outcome.job_id, outcome.index)
            lease = Lease(*key, "", 0, self._now)
            self._leases.add(lease)
            queue.take(outcome.index)
        if lease is not None:
            lease.phase = LeasePhase.COMMITTING

    def _reconcile_leases(
        self, pull: ItemPull, now: float, wall: float
    ) -> list[Record]:
        """Renews the leases that a sidecar still holds and ends the others."""
        self._unconfirmed.pop((pull.instance, pull.incarnation), None)
        earlier = [
            lease
            for lease in self._leases.of_instance(pull.instance)
            if 0 < lease.incarnation < pull.incarnation
            and lease.phase is LeasePhase.RUNNING
        ]
        records = self._end_lost_runs(earlier, True, now, wall)
        held = None if pull.held is None else frozenset(pull.held)
        for lease in self._leases.of_instance(pull.instance):
            if held is None or lease.lease_id in held:
                lease.expires_at = max(lease.expires_at, now + self.settings.lease_s)
            elif lease.nonce < pull.nonce and lease.phase is LeasePhase.RUNNING:
                records += self._release_lease(lease, now, wall)
        for lease_id in pull.held or ():
            self._adopt_lease(lease_id, pull)
        return records

    def _adopt_lease(self, lease_id: str, pull: ItemPull) -> None:
        name = parse_lease_id(lease_id)
        if name is None or name.partition != self.partition:
            return
        job = self._job_of_waiting(name.job_id, name.index)
        queue = self._queues.get(name.job_id)
        if job is None or queue is None or lease_id in self._leases:
            return
        if job.is_repeatable and not queue.is_taken(name.index):
            self._adopt(job, name.index, lease_id, pull.instance, pull.incarnation)

    def _adopt(
        self, job: JobState, index: int, lease_id: str, instance: str, incarnation: int
    ) -> None:
        expires_at = self._now + self.settings.lease_s
        is_exclusive = index in job.strikes
        lease = Lease(
            lease_id, job.job_id, index, instance, incarnation, expires_at, is_exclusive
        )
        self._leases.add(lease)
        queue = self._queues.get(job.job_id)
        if queue is not None:
            queue.take(index)

    def _repeat(
        self, pull: ItemPull, lease_ids: tuple[str, ...], records: list[Record]
    ) -> PullDecision:
        known = (self._leases.get(lease_id) for lease_id in lease_ids)
        running = tuple(
            lease
            for lease in known
            if lease is not None and lease.phase is LeasePhase.RUNNING
        )
        return PullDecision(running, tuple(records), self._cancelled_leases(pull))

    def _remember_pull(self, pull: ItemPull, leases: list[Lease]) -> None:
        self._pulls.pop(pull.instance, None)
        lease_ids = tuple(lease.lease_id for lease in leases)
        self._pulls[pull.instance] = (pull.incarnation, pull.nonce, lease_ids)
        if len(self._pulls) > self.settings.remembered_pulls:
            del self._pulls[next(iter(self._pulls))]

    def _grant(self, job: JobState, index: int, pull: ItemPull, now: float) -> Lease:
        self._granted += 1
        lease = Lease(
            lease_id_for(self.partition, self._id, self._granted, job.job_id, index),
            job.job_id,
            index,
            pull.instance,
            pull.incarnation,
            now + self.settings.lease_s,
            index in job.strikes,
            LeasePhase.RUNNING if job.is_repeatable else LeasePhase.CLAIMING,
            pull.nonce,
            now,
        )
        self._leases.add(lease)
        return lease

    def _cancelled_leases(self, pull: ItemPull) -> tuple[str, ...]:
        known = [
            lease.lease_id
            for lease in self._leases.of_instance(pull.instance)
            if self._is_cancelled(lease.job_id)
        ]
        unknown = [
            lease_id
            for lease_id in pull.held or ()
            if lease_id not in self._leases and self._is_obsolete(lease_id)
        ]
        return tuple(known + unknown)

    def _is_obsolete(self, lease_id: str) -> bool:
        name = parse_lease_id(lease_id)
        if name is None or name.partition != self.partition:
            return False
        return self._job_of_waiting(name.job_id, name.index) is None

    def _is_cancelled(self, job_id: str) -> bool:
        job = self.state.jobs.get(job_id)
        return job is None or job.is_over or job_id in self._cancelling

    def _idempotent_outcome(
        self,
        outcome: ItemOutcome,
        kind: OutcomeKind,
        lease: Lease | None,
        wall: float,
    ) -> Record | None:
        key = (outcome.job_id, outcome.index)
        if kind is OutcomeKind.CRASHED:
            is_certain = outcome.error is not None and outcome.error.ran is Ran.YES
            if lease is not None and not is_certain:
                self._note_unanswered(lease)
            return crash_record(*key, outcome.lease_id, is_certain, wall)
        if kind is OutcomeKind.NOT_RUN:
            return None
        if kind is OutcomeKind.TRANSIENT:
            self._tries[key] = self._tries.get(key, 0) + 1
            if self._tries[key] < self.settings.max_tries:
                return None
        return completion_record(outcome, wall)

    def _end_lost_runs(
        self, leases: list[Lease], is_certain: bool, now: float, wall: float
    ) -> list[Record]:
        records = []
        for lease in leases:
            job = self._job_of_waiting(lease.job_id, lease.index)
            if job is None:
                self._drop(lease, now)
                continue
            lease.phase = LeasePhase.COMMITTING
            key = (lease.job_id, lease.index, lease.lease_id)
            if job.is_repeatable:
                records.append(crash_record(*key, is_certain, wall))
            else:
                records.append(unknown_outcome_record(*key, wall))
        return records

    def _note_unanswered(self, lease: Lease) -> None:
        """Records a run whose engine gave no response although the sidecar is live.

        If the backend server is lost within ``lease_s``, the run counts as a certain
        crash.
        """
        oldest = self._now - self.settings.lease_s
        recent = [pair for pair in self._unanswered if pair[0] > oldest]
        self._unanswered = [*recent, (self._now, lease)]

    def _pop_unanswered(self, instance: str, incarnation: int) -> list[Lease]:
        oldest = self._now - self.settings.lease_s
        runs = [
            lease
            for reported_at, lease in self._unanswered
            if reported_at > oldest
            and lease.instance == instance
            and lease.incarnation <= incarnation
        ]
        self._unanswered = [pair for pair in self._unanswered if pair[1] not in runs]
        return runs

    def _note_unconfirmed(self, lease: Lease) -> None:
        """Records an expired lease.

        If the sidecar proves to be lost, the run counts as a certain crash.
        """
        key = (lease.instance, lease.incarnation)
        self._unconfirmed.setdefault(key, []).append(lease)
        while len(self._unconfirmed) > self.settings.remembered_pulls:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def _confirm_crashes(self, leases: list[Lease], wall: float) -> list[Record]:
        """Returns records that make the uncertain crashes of ended leases certain."""
        records = []
        for lease in leases:
            job = self._job_of_waiting(lease.job_id, lease.index)
            if job is not None and job.is_repeatable:
                key = (lease.job_id, lease.index, lease.lease_id)
                records.append(crash_record(*key, True, wall))
        return records

    def _release_lease(
        self, lease: Lease, now: float, wall: float, resume: bytes = b""
    ) -> list[Record]:
        job = self._job_of_waiting(lease.job_id, lease.index)
        if job is not None and not job.is_repeatable:
            return self._end_lost_runs([lease], False, now, wall)
        if job is not None:
            self._resumes.put((lease.job_id, lease.index), resume)
        self._drop(lease, now, 0.0)
        return []

    def _drop(self, lease: Lease, now: float, delay_s: float | None = None) -> None:
        self._leases.remove(lease)
        queue = self._queues.get(lease.job_id)
        if queue is not None:
            if delay_s is None:
                delay_s = self.settings.retry_delay_s
            queue.put_back(lease.index, now + delay_s)

    def _job_of_waiting(self, job_id: str, index: int) -> JobState | None:
        job = self.state.jobs.get(job_id)
        if job is None or job.is_over or not 0 <= index < job.items:
            return None
        return job if job.status[index] == ItemStatus.WAITING else None


def pull_all(
    owners: Sequence[PartitionOwner],
    order: DispatchOrder,
    pull: ItemPull,
    now: float,
    wall: float,
    rules: ChoiceRules | None = None,
) -> list[PullDecision]:
    """Serves one pull from several partitions, with one dispatch order for all jobs.

    Returns one decision per owner, in the order of ``owners``.
    """
    rules = rules or ChoiceRules()
    starts = [owner.begin_pull(pull, now, wall) for owner in owners]
    chosen: list[list[ChosenItem]] = [[] for _ in owners]
    may_choose = rules.may_grant and all(start.decision is None for start in starts)
    if may_choose:
        if any(owner.holds_suspect(pull.instance) for owner in owners):
            rules = attrs.evolve(rules, may_be_suspect=False)
        choices = [owner.choices for owner in owners]
        for item in choose_items(choices, order, pull, now, rules):
            chosen[item.position].append(item)
    return [
        owner.end_pull(pull, start, items, now)
        for owner, start, items in zip(owners, starts, chosen, strict=True)
    ]


def _non_idempotent_outcome(
    outcome: ItemOutcome, kind: OutcomeKind, wall: float
) -> Record:
    key = (outcome.job_id, outcome.index, outcome.lease_id)
    if kind is OutcomeKind.NOT_RUN:
        return withdrawal_record(*key)
    if kind is OutcomeKind.FINAL:
        return completion_record(outcome, wall)
    return unknown_outcome_record(*key, wall)
