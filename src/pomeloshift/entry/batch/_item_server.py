"""Grants items of this entry's partitions to sidecars and stores their outcomes."""

from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from ...batch import (
    ChoiceRules,
    DispatchOrder,
    Lease,
    LeasePhase,
    PullDecision,
    parse_item,
    pull_all,
)
from ...config import Configuration
from ...errors import ErrorReport, PomeloshiftError
from ...net import Clock
from ...wire import GrantedItem, ItemPull, ItemResults, LeaseRelease
from ._errors import NotAcceptedError
from ._partition_runner import PartitionRunner
from ._settings import BatchSettings


class ItemServer:
    """Answers pulls with leased items and commits outcomes to the log."""

    def __init__(
        self,
        clock: Clock,
        settings: BatchSettings,
        current_config: Callable[[], Configuration | None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._current_config = current_config
        self._order = DispatchOrder()

    async def pull(
        self, pull: ItemPull, runners: Sequence[PartitionRunner]
    ) -> tuple[list[GrantedItem], list[str]]:
        """Returns the granted items and the ids of the leases to cancel.

        Nothing is granted while a runner lacks free buffer, because the outcomes
        could not be stored.
        """
        now, wall = self._clock.monotonic(), self._clock.wall()
        rules = ChoiceRules(
            self._shares(),
            may_claim=not any(runner.is_log_failing for runner in runners),
            may_grant=all(runner.has_free_buffer for runner in runners),
        )
        owners = [runner.owner for runner in runners]
        decisions = pull_all(owners, self._order, pull, now, wall, rules)
        granted: list[GrantedItem] = []
        cancelled: list[str] = []
        for runner, decision in zip(runners, decisions, strict=True):
            cancelled += decision.cancelled
            granted += await self._grant(runner, decision)
        return granted, cancelled

    async def take_results(
        self, runner: PartitionRunner, results: ItemResults
    ) -> ErrorReport | None:
        """Commits outcomes; returns an error unless all are durable in time.

        The sidecar retains outcomes that were not acknowledged and sends them again.
        """
        now, wall = self._clock.monotonic(), self._clock.wall()
        outcomes = {}
        for outcome in results.outcomes:
            record = runner.owner.outcome(outcome, now, wall)
            if record is not None:
                outcomes[record.record_id] = (outcome, record)
        if not outcomes:
            return None
        result = await runner.submit([rec for _, rec in outcomes.values()])
        for record in result.not_buffered:
            outcome, _ = outcomes[record.record_id]
            runner.owner.reopen(outcome.lease_id, self._clock.monotonic())
        if result.is_committed and not result.not_buffered:
            return None
        return NotAcceptedError(
            "the log has not acknowledged the results yet",
            retry_after_s=self._settings.commit_wait_s,
        ).report()

    def take_release(self, runner: PartitionRunner, release: LeaseRelease) -> None:
        """Releases leases, whose items can then be granted again."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        runner.post(runner.owner.release(release, now, wall))

    async def _grant(
        self, runner: PartitionRunner, decision: PullDecision
    ) -> list[GrantedItem]:
        claims = [lease for lease in decision.leases if _is_claiming(lease)]
        running = [lease for lease in decision.leases if not _is_claiming(lease)]
        if claims:
            running += await self._claim(runner, decision, claims)
        else:
            runner.post(decision.records)
        granted = []
        for lease in running:
            item = await self._load(runner, lease)
            if item is not None:
                granted.append(item)
        return granted

    async def _claim(
        self, runner: PartitionRunner, decision: PullDecision, claims: list[Lease]
    ) -> list[Lease]:
        try:
            await runner.commit(decision.records, self._settings.commit_wait_s)
        except PomeloshiftError as exc:
            logger.warning(
                "event=claim_failed partition={} code={}",
                runner.partition,
                exc.code.value,
            )
            for lease in claims:
                runner.owner.abandon(lease.lease_id, self._clock.monotonic())
            return []
        now = self._clock.monotonic()
        return [le for le in claims if runner.owner.confirm_claim(le.lease_id, now)]

    async def _load(self, runner: PartitionRunner, lease: Lease) -> GrantedItem | None:
        job = runner.state.jobs.get(lease.job_id)
        if job is None:
            return None
        chunk = job.chunk_of(lease.index)
        try:
            record = await runner.record_at(job.chunks[chunk])
        except PomeloshiftError as exc:
            logger.warning(
                "event=item_unreadable job={} index={} code={}",
                lease.job_id,
                lease.index,
                exc.code.value,
            )
            self._withdraw(runner, lease)
            return None
        item = parse_item(record.body.lines[lease.index - job.first_indexes[chunk]])
        remaining_s = job.deadline_at - self._clock.wall()
        return GrantedItem(
            runner.partition,
            job.job_id,
            lease.index,
            lease.lease_id,
            self._settings.owner.lease_s,
            job.service,
            item.path,
            item.body,
            item.prompt_tokens,
            item.output_tokens,
            max(remaining_s, self._settings.owner.shortest_run_s),
            job.is_repeatable,
            lease.is_exclusive,
            runner.owner.resume_of(lease),
        )

    def _withdraw(self, runner: PartitionRunner, lease: Lease) -> None:
        """Ends a lease whose item was not sent; withdraws the lease's claim, if any."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        runner.post(runner.owner.withdraw(lease.lease_id, now, wall))

    def _shares(self) -> Mapping[str, float]:
        cfg = self._current_config()
        if cfg is None:
            return {}
        return {workspace.name: workspace.share for workspace in cfg.workspaces}


def _is_claiming(lease: Lease) -> bool:
    return lease.phase is LeasePhase.CLAIMING
