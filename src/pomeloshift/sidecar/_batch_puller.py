"""Pulls batch items from entries and delivers their outcomes."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs
from loguru import logger

from ..errors import PomeloshiftError
from ..model import Instance
from ..net import Clock
from ..net._control_client import ControlClient
from ..net._periodic_tasks import spawn
from ..wire import (
    GrantedItem,
    ItemGrants,
    ItemOutcome,
    ItemPull,
    ItemResults,
    LeaseRelease,
)
from ._batch_work import BatchWork
from ._engine_executor import EngineExecutor

ASK_TIMEOUT_S = 2.0
EMPTY_PULL_BACKOFF_S = 0.2
MAX_EMPTY_PULL_BACKOFF_S = 2.0
DELIVERY_RETRY_S = 0.5
RENEW_INTERVAL_S = 1.0
MAX_OUTCOMES_PER_MESSAGE = 64


@attrs.define
class _Demand:
    """The batch work that an executor has room for."""

    tokens: int
    items: int


class BatchPuller:
    """Pulls items while an executor has room, and delivers their outcomes.

    ``entries`` returns the live entries, nearest first. An outcome is sent again
    until an entry acknowledges it. Duplicates are harmless, because the first
    completion of an item in the log wins.
    """

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        control: ControlClient,
        entries: Callable[[], Sequence[Instance]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._control = control
        self._entries = entries
        self._clock = clock
        self._rng = rng
        self._demands: dict[EngineExecutor, _Demand] = {}
        self._pulls_in_flight: set[str] = set()
        self._unconfirmed_pulls: set[str] = set()
        self._next_entry = 0
        self._pull_after = 0.0
        self._empty_pulls = 0
        self._nonce = 0
        self._outcomes: list[ItemOutcome] = []
        self._is_delivering = False
        self._deliver_after = 0.0
        self._is_stopped = False
        self._renew_at: dict[str, float] = {}
        self._running: dict[str, tuple[EngineExecutor, str]] = {}
        self._releases: list[tuple[GrantedItem, bytes]] = []

    @property
    def running_leases(self) -> tuple[str, ...]:
        """The ids of the leases whose items are queued or running here."""
        return tuple(self._running)

    @property
    def is_flushed(self) -> bool:
        """Whether all outcomes and released leases have been delivered."""
        return not self._outcomes and not self._releases and not self._is_delivering

    def request_items(self, executor: EngineExecutor, tokens: int, items: int) -> None:
        """Records that the executor has room for batch work."""
        if not self._is_stopped:
            self._demands[executor] = _Demand(tokens, items)

    def stop(self) -> None:
        """Stops pulling; outcomes are still delivered."""
        self._is_stopped = True
        self._demands.clear()

    def drop_leases(self) -> None:
        """Stops all batch work at once, because its leases may have expired."""
        for executor, stream_id in self._running.values():
            executor.withdraw(stream_id)
        self._running.clear()

    def tick(self) -> None:
        """Starts the pulls and deliveries that are due; at most one pull per entry."""
        now = self._clock.monotonic()
        entries = self._entries()
        if self._demands and now >= self._pull_after:
            self._pull_from_next(entries)
        for entry in entries:
            if entry.name not in self._pulls_in_flight and self._needs_renewal(
                entry, now
            ):
                spawn(self._pull(entry, None, _Demand(0, 0)))
        has_undelivered = bool(self._outcomes or self._releases)
        if has_undelivered and not self._is_delivering and now >= self._deliver_after:
            spawn(self._deliver())

    def _pull_from_next(self, entries: Sequence[Instance]) -> None:
        if not entries:
            self._back_off()
            return
        entry = entries[self._next_entry % len(entries)]
        if entry.name in self._pulls_in_flight:
            return
        self._next_entry += 1
        executor, demand = next(iter(self._demands.items()))
        del self._demands[executor]
        spawn(self._pull(entry, executor, demand))

    def _needs_renewal(self, entry: Instance, now: float) -> bool:
        if not self._running and entry.name not in self._unconfirmed_pulls:
            return False
        return now >= self._renew_at.get(entry.name, 0.0)

    async def _pull(
        self, entry: Instance, executor: EngineExecutor | None, demand: _Demand
    ) -> None:
        """Pulls from an entry and renews the leases held; without demand only renews.

        An entry revokes every earlier grant that a pull does not name. The reply to
        one pull must therefore be known before the next pull to the same entry.
        """
        self._pulls_in_flight.add(entry.name)
        self._unconfirmed_pulls.add(entry.name)
        pull = self._make_pull(demand)
        try:
            grants = await self._control.request(
                entry.control_address, pull, ASK_TIMEOUT_S
            )
        except PomeloshiftError as exc:
            logger.warning(
                "event=pull_failed entry={} code={}", entry.name, exc.code.value
            )
            self._back_off()
            return
        finally:
            self._pulls_in_flight.discard(entry.name)
            now = self._clock.monotonic()
            self._renew_at[entry.name] = now + RENEW_INTERVAL_S
        self._unconfirmed_pulls.discard(entry.name)
        self._apply_grants(executor, grants)

    def _make_pull(self, demand: _Demand) -> ItemPull:
        self._nonce += 1
        undelivered = [outcome.lease_id for outcome in self._outcomes]
        releasing = [item.lease_id for item, _ in self._releases]
        return ItemPull(
            self._instance.name,
            self._incarnation,
            self._nonce,
            self._instance.place.region,
            self._instance.service,
            demand.tokens,
            demand.items,
            (*self._running, *undelivered, *releasing),
        )

    def _apply_grants(self, executor: EngineExecutor | None, grants: Any) -> None:
        if not isinstance(grants, ItemGrants):
            self._back_off()
            return
        self.cancel(grants.cancelled)
        if executor is None:
            return
        if not grants.items:
            self._back_off()
            return
        self._empty_pulls = 0
        for item in grants.items:
            work = BatchWork(item, self._add_outcome, self._add_release)
            self._running[item.lease_id] = (executor, work.stream_id)
            executor.offer(work, work.resume)

    def cancel(self, lease_ids: Sequence[str]) -> None:
        """Stops the items of cancelled jobs."""
        for lease_id in lease_ids:
            known = self._running.pop(lease_id, None)
            if known is not None:
                executor, stream_id = known
                executor.withdraw(stream_id)

    def _back_off(self) -> None:
        self._empty_pulls += 1
        delay_s = min(
            EMPTY_PULL_BACKOFF_S * self._empty_pulls, MAX_EMPTY_PULL_BACKOFF_S
        )
        jitter = 0.5 + self._rng.random()
        self._pull_after = self._clock.monotonic() + delay_s * jitter

    def _add_outcome(self, outcome: ItemOutcome) -> None:
        if self._running.pop(outcome.lease_id, None) is not None:
            self._outcomes.append(outcome)

    def _add_release(self, item: GrantedItem, resume: bytes) -> None:
        if self._running.pop(item.lease_id, None) is not None:
            self._releases.append((item, resume))

    async def _deliver(self) -> None:
        self._is_delivering = True
        try:
            await self._deliver_to_one_entry()
        finally:
            self._is_delivering = False

    async def _deliver_to_one_entry(self) -> None:
        entries = self._entries()
        if not entries:
            return
        entry = entries[self._rng.randrange(len(entries))]
        outcomes = self._outcomes[:MAX_OUTCOMES_PER_MESSAGE]
        releases = list(self._releases)
        try:
            if outcomes:
                await self._send_outcomes(entry, outcomes)
            if releases:
                await self._send_releases(entry, releases)
        except PomeloshiftError as exc:
            logger.warning(
                "event=delivery_failed entry={} code={}", entry.name, exc.code.value
            )
            now = self._clock.monotonic()
            self._deliver_after = now + DELIVERY_RETRY_S

    async def _send_outcomes(
        self, entry: Instance, outcomes: list[ItemOutcome]
    ) -> None:
        message = ItemResults(self._instance.name, self._incarnation, tuple(outcomes))
        reply = await self._control.request(
            entry.control_address, message, ASK_TIMEOUT_S
        )
        if reply.error is not None:
            now = self._clock.monotonic()
            delay_s = reply.error.retry_after_s or DELIVERY_RETRY_S
            self._deliver_after = now + delay_s
            return
        del self._outcomes[: len(outcomes)]

    async def _send_releases(
        self, entry: Instance, releases: list[tuple[GrantedItem, bytes]]
    ) -> None:
        message = LeaseRelease(
            self._instance.name,
            tuple(item.lease_id for item, _ in releases),
            tuple(resume for _, resume in releases),
        )
        await self._control.request(entry.control_address, message, ASK_TIMEOUT_S)
        del self._releases[: len(releases)]
