"""Decides which sidecar runs which item of a partition."""

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
    strike_record,
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

    Leases live in memory only: another owner of the same partition, at the same
    time or later, may lease an item again, and the fold keeps the first completion.
    Every record that a method returns is to be appended; until it was applied the
    item is not leased again. ``now`` is monotonic and ``wall`` the time since the
    epoch, both in seconds.

        owner.apply(offset, record)               # for each record of the stream
        decision = owner.pull(pull, now, wall)    # leases, and records to append
        record = owner.outcome(outcome, now, wall)
        records = owner.tick(now, wall)           # for leases that ran out
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
        self._crash_told_at: dict[str, float] = {}
        self._unanswered: list[tuple[float, Lease]] = []
        self._silent: dict[tuple[str, int], list[Lease]] = {}

    @property
    def leased(self) -> int:
        """The number of items that are leased."""
        return len(self._leases)

    def apply(self, offset: int, record: Record) -> bool:
        """Applies a record of the stream to the state and to the leases."""
        took_effect = self.state.apply(offset, record)
        if took_effect:
            self._follow(record.body)
        return took_effect

    def adopt_attempts(self, now: float) -> None:
        """Gives the runners of claims made under an earlier owner time to report."""
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

        A pull that repeats the nonce of the one before gets the same leases, and an
        older one gets none.
        """
        return pull_all([self], self._order, pull, now, wall, rules)[0]

    def begin_pull(self, pull: ItemPull, now: float, wall: float) -> PullStart:
        """Takes stock of what a sidecar holds, before items are chosen."""
        self._now = now
        known = self._pulls.get(pull.instance, NO_PULL)
        if (pull.incarnation, pull.nonce) < known[:2]:
            return PullStart(answer=PullDecision())
        records = self._take_stock(pull, now, wall)
        if (pull.incarnation, pull.nonce) == known[:2]:
            return PullStart(answer=self._repeat(pull, known[2], records))
        return PullStart(tuple(records))

    def end_pull(
        self, pull: ItemPull, start: PullStart, items: list[ChosenItem], now: float
    ) -> PullDecision:
        """Leases the items that were chosen."""
        if start.answer is not None:
            return start.answer
        leases = [self._grant(item.job, item.index, pull, now) for item in items]
        self._remember(pull, leases)
        claiming = (le for le in leases if le.phase is LeasePhase.CLAIMING)
        claims = tuple(claim_record(lease) for lease in claiming)
        return PullDecision(
            tuple(leases), start.records + claims, self._cancelled_leases(pull)
        )

    def holds_suspect(self, instance: str) -> bool:
        """Tells whether a sidecar holds an item that has to run alone."""
        return any(lease.is_alone for lease in self._leases.of_instance(instance))

    @property
    def choices(self) -> tuple[ItemQueues, set[str]]:
        """The queues to choose from and the jobs that are being cancelled."""
        return self._queues, self._cancelling

    def is_claimed(self, lease_id: str, now: float) -> bool:
        """Tells whether the claim of a lease is the first in the stream.

        To be asked once the claim's record was applied; a lease whose claim came
        second is dropped.
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
        """Drops a lease that was decided but never handed out.

        If its claim reaches the stream all the same, `tick` withdraws it.
        """
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._drop(lease, now)

    def withdraw(self, lease_id: str, now: float, wall: float) -> list[Record]:
        """Ends a lease whose item was never handed out; returns records to append."""
        self._now = now
        lease = self._leases.get(lease_id)
        if lease is None:
            return []
        job = self._job_of_waiting(lease.job_id, lease.index)
        if job is None or job.is_repeatable:
            self._drop(lease, now)
            return []
        lease.phase = LeasePhase.SETTLING
        return [withdrawal_record(lease.job_id, lease.index, lease_id)]

    def crash_told(self, instance: str, now: float) -> None:
        """Notes that a sidecar told of its engine's crash."""
        self._crash_told_at.setdefault(instance, now)
        while len(self._crash_told_at) > self.settings.remembered_pulls:
            del self._crash_told_at[next(iter(self._crash_told_at))]

    def on_heartbeat(self, instance: str, incarnation: int, now: float) -> None:
        """Notes that a sidecar is alive.

        Only a pull renews leases, because it names them: a grant whose answer was
        lost is renewed by nobody.
        """
        self._silent.pop((instance, incarnation), None)

    def resume_of(self, lease: Lease) -> bytes:
        """Returns what an earlier run of the lease's item produced."""
        return self._resumes.get((lease.job_id, lease.index))

    def outcome(self, outcome: ItemOutcome, now: float, wall: float) -> Record | None:
        """Takes the end of a run, whether or not its lease is known here.

        The outcome is acknowledged once the record returned was applied; without a
        record it changes nothing that lasts.
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
            record = self._repeatable_outcome(outcome, kind, lease, wall)
        else:
            record = _unrepeatable_outcome(outcome, kind, wall)
        if record is not None:
            self._hold(outcome, lease)
        elif lease is not None:
            self._drop(lease, now)
        return record

    def reopen(self, lease_id: str, now: float) -> None:
        """Makes a lease run again whose outcome's record could not be taken."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return
        if not lease.instance:
            self._drop(lease, now)
            return
        lease.phase = LeasePhase.RUNNING
        lease.expires_at = now + self.settings.lease_s

    def release(self, release: LeaseRelease, now: float, wall: float) -> list[Record]:
        """Takes items back that a sidecar gives up; returns records to append."""
        self._now = now
        records = []
        resumes = dict(zip(release.lease_ids, release.resumes, strict=False))
        for lease_id in release.lease_ids:
            lease = self._leases.get(lease_id)
            if lease is None or lease.phase is not LeasePhase.RUNNING:
                continue
            resume = resumes.get(lease_id, b"")
            records += self._give_back(lease, now, wall, resume)
        return records

    def instance_lost(
        self, instance: str, incarnation: int, now: float, wall: float
    ) -> list[Record]:
        """Strikes the items that ran on a backend server that was lost.

        Leases of an incarnation later than the one given stay, and so do those that
        a living sidecar got after it had told of its engine's crash itself.
        """
        self._now = now
        told_at = self._crash_told_at.pop(instance, None)
        lost = [
            lease
            for lease in self._leases.of_instance(instance)
            if lease.incarnation <= incarnation
            and lease.phase is LeasePhase.RUNNING
            and (told_at is None or lease.granted_at < told_at)
        ]
        records = self._strike_all(lost, True, now, wall)
        unconfirmed = self._take_unanswered(instance, incarnation)
        for key in [key for key in self._silent if key[0] == instance]:
            if key[1] <= incarnation:
                unconfirmed += self._silent.pop(key)
        in_time = [
            lease
            for lease in unconfirmed
            if told_at is None or lease.granted_at < told_at
        ]
        records += self._confirm(in_time, wall)
        return records

    def tick(self, now: float, wall: float) -> list[Record]:
        """Ends the leases that ran out; returns records to append.

        To be called several times in the length of a lease. After a pause of this
        process, in which nobody could renew a lease, all of them are extended.
        """
        self._now = now
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s > self.settings.lease_s / 2:
            for lease in self._leases:
                lease.expires_at = max(lease.expires_at, now + self.settings.lease_s)
        records, self._withdrawals = self._withdrawals, []
        late = self._leases.late(now)
        for lease in late:
            self._keep_unconfirmed(lease)
        return records + self._strike_all(late, False, now, wall)

    def cancel(self, job_id: str, wall: float) -> Record | None:
        """Stops a job at once; returns the record that makes it last."""
        job = self.state.jobs.get(job_id)
        if job is None or job.is_over:
            return None
        self._cancelling.add(job_id)
        return cancel_record(job_id, wall)

    def is_cancelling(self, job_id: str) -> bool:
        """Tells whether a cancel is in effect here that is not in the stream yet."""
        return job_id in self._cancelling

    def _follow(self, body: Any) -> None:
        if isinstance(body, JobCreated):
            self._queues.open(self.state.jobs[body.job_id])
        elif isinstance(body, ItemCompleted):
            self._settle(body.job_id, body.index)
        elif isinstance(body, ItemStruck):
            self._follow_strike(body)
        elif isinstance(body, AttemptStarted):
            self._follow_claim(body)
        elif isinstance(body, AttemptWithdrawn):
            self._follow_withdrawal(body)
        elif isinstance(body, JobCancelled):
            self._close(body.job_id)

    def _follow_strike(self, body: ItemStruck) -> None:
        if self._job_of_waiting(body.job_id, body.index) is None:
            self._settle(body.job_id, body.index)
        else:
            self._settle_lease(body.lease_id, self.settings.suspect_delay_s)

    def _follow_claim(self, body: AttemptStarted) -> None:
        name = parse_lease_id(body.attempt_id)
        is_own = name is not None and name.owner == self._id
        if is_own and body.attempt_id not in self._leases:
            self._withdrawals.append(
                withdrawal_record(body.job_id, body.index, body.attempt_id)
            )

    def _follow_withdrawal(self, body: AttemptWithdrawn) -> None:
        queue = self._queues.get(body.job_id)
        if body.attempt_id in self._leases:
            self._settle_lease(body.attempt_id)
        elif queue is not None and not queue.is_out(body.index):
            queue.put_back(body.index, self._now)

    def _settle_lease(self, lease_id: str, delay_s: float | None = None) -> None:
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._drop(lease, self._now, delay_s)

    def _settle(self, job_id: str, index: int) -> None:
        queue = self._queues.get(job_id)
        if queue is not None:
            queue.forget(index)
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

    def _hold(self, outcome: ItemOutcome, lease: Lease | None) -> None:
        """Keeps an item from being leased until the outcome's record is applied."""
        queue = self._queues.get(outcome.job_id)
        if lease is None and queue is not None and not queue.is_out(outcome.index):
            key = (outcome.lease_id, outcome.job_id, outcome.index)
            lease = Lease(*key, "", 0, self._now)
            self._leases.add(lease)
            queue.take(outcome.index)
        if lease is not None:
            lease.phase = LeasePhase.SETTLING

    def _take_stock(self, pull: ItemPull, now: float, wall: float) -> list[Record]:
        """Renews what a sidecar holds and ends what it does not hold any more."""
        self._silent.pop((pull.instance, pull.incarnation), None)
        earlier = [
            lease
            for lease in self._leases.of_instance(pull.instance)
            if 0 < lease.incarnation < pull.incarnation
            and lease.phase is LeasePhase.RUNNING
        ]
        records = self._strike_all(earlier, True, now, wall)
        held = None if pull.held is None else frozenset(pull.held)
        for lease in self._leases.of_instance(pull.instance):
            if held is None or lease.lease_id in held:
                lease.expires_at = max(lease.expires_at, now + self.settings.lease_s)
            elif lease.nonce < pull.nonce and lease.phase is LeasePhase.RUNNING:
                records += self._give_back(lease, now, wall)
        for lease_id in pull.held or ():
            self._adopt_held(lease_id, pull)
        return records

    def _adopt_held(self, lease_id: str, pull: ItemPull) -> None:
        name = parse_lease_id(lease_id)
        if name is None or name.partition != self.partition:
            return
        job = self._job_of_waiting(name.job_id, name.index)
        queue = self._queues.get(name.job_id)
        if job is None or queue is None or lease_id in self._leases:
            return
        if job.is_repeatable and not queue.is_out(name.index):
            self._adopt(job, name.index, lease_id, pull.instance, pull.incarnation)

    def _adopt(
        self, job: JobState, index: int, lease_id: str, instance: str, incarnation: int
    ) -> None:
        expires_at = self._now + self.settings.lease_s
        is_alone = index in job.strikes
        lease = Lease(
            lease_id, job.job_id, index, instance, incarnation, expires_at, is_alone
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

    def _remember(self, pull: ItemPull, leases: list[Lease]) -> None:
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
            if lease_id not in self._leases and self._is_useless(lease_id)
        ]
        return tuple(known + unknown)

    def _is_useless(self, lease_id: str) -> bool:
        name = parse_lease_id(lease_id)
        if name is None or name.partition != self.partition:
            return False
        return self._job_of_waiting(name.job_id, name.index) is None

    def _is_cancelled(self, job_id: str) -> bool:
        job = self.state.jobs.get(job_id)
        return job is None or job.is_over or job_id in self._cancelling

    def _repeatable_outcome(
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
                self._keep_unanswered(lease)
            return strike_record(*key, outcome.lease_id, is_certain, wall)
        if kind is OutcomeKind.NOT_RUN:
            return None
        if kind is OutcomeKind.PASSING:
            self._tries[key] = self._tries.get(key, 0) + 1
            if self._tries[key] < self.settings.max_tries:
                return None
        return completion_record(outcome, wall)

    def _strike_all(
        self, leases: list[Lease], is_certain: bool, now: float, wall: float
    ) -> list[Record]:
        records = []
        for lease in leases:
            job = self._job_of_waiting(lease.job_id, lease.index)
            if job is None:
                self._drop(lease, now)
                continue
            lease.phase = LeasePhase.SETTLING
            key = (lease.job_id, lease.index, lease.lease_id)
            if job.is_repeatable:
                records.append(strike_record(*key, is_certain, wall))
            else:
                records.append(unknown_outcome_record(*key, wall))
        return records

    def _keep_unanswered(self, lease: Lease) -> None:
        """Remembers a run that a living sidecar got no answer for.

        It counts as running at the loss of its engine only for the length of a lease.
        """
        oldest = self._now - self.settings.lease_s
        kept = [pair for pair in self._unanswered if pair[0] > oldest]
        self._unanswered = [*kept, (self._now, lease)]

    def _take_unanswered(self, instance: str, incarnation: int) -> list[Lease]:
        oldest = self._now - self.settings.lease_s
        taken = [
            lease
            for told_at, lease in self._unanswered
            if told_at > oldest
            and lease.instance == instance
            and lease.incarnation <= incarnation
        ]
        self._unanswered = [pair for pair in self._unanswered if pair[1] not in taken]
        return taken

    def _keep_unconfirmed(self, lease: Lease) -> None:
        """Remembers a lease whose strike becomes certain if the loss is confirmed."""
        key = (lease.instance, lease.incarnation)
        self._silent.setdefault(key, []).append(lease)
        while len(self._silent) > self.settings.remembered_pulls:
            del self._silent[next(iter(self._silent))]

    def _confirm(self, leases: list[Lease], wall: float) -> list[Record]:
        """Makes strikes certain that were written when their leases ran out."""
        records = []
        for lease in leases:
            job = self._job_of_waiting(lease.job_id, lease.index)
            if job is not None and job.is_repeatable:
                key = (lease.job_id, lease.index, lease.lease_id)
                records.append(strike_record(*key, True, wall))
        return records

    def _give_back(
        self, lease: Lease, now: float, wall: float, resume: bytes = b""
    ) -> list[Record]:
        job = self._job_of_waiting(lease.job_id, lease.index)
        if job is not None and not job.is_repeatable:
            return self._strike_all([lease], False, now, wall)
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
    """Serves one pull from several partitions, with one order over all their jobs.

    Returns a decision for each owner, in their order.
    """
    rules = rules or ChoiceRules()
    starts = [owner.begin_pull(pull, now, wall) for owner in owners]
    chosen: list[list[ChosenItem]] = [[] for _ in owners]
    may_choose = rules.may_grant and all(start.answer is None for start in starts)
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


def _unrepeatable_outcome(
    outcome: ItemOutcome, kind: OutcomeKind, wall: float
) -> Record:
    key = (outcome.job_id, outcome.index, outcome.lease_id)
    if kind is OutcomeKind.NOT_RUN:
        return withdrawal_record(*key)
    if kind is OutcomeKind.FINAL:
        return completion_record(outcome, wall)
    return unknown_outcome_record(*key, wall)
