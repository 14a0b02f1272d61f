"""Fetches batch items from entries and hands outcomes back."""

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
from ._engine_lane import EngineLane

ASK_TIMEOUT_S = 2.0
EMPTY_PULL_PAUSE_S = 0.2
MAX_EMPTY_PULL_PAUSE_S = 2.0
RESULT_RETRY_PAUSE_S = 0.5
RENEW_INTERVAL_S = 1.0
MAX_OUTCOMES_PER_MESSAGE = 64


@attrs.define
class _Demand:
    tokens: int
    items: int


class BatchPuller:
    """Pulls items while a lane has room, and reports outcomes until acknowledged.

    ``entries`` returns the live entries, nearest first. An outcome is kept until an
    entry acknowledged it; repeats are harmless because the first completion of an
    item in the log wins.
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
        self._demands: dict[EngineLane, _Demand] = {}
        self._asking: set[str] = set()
        self._unanswered: set[str] = set()
        self._turn = 0
        self._paused_until = 0.0
        self._empty_pulls = 0
        self._nonce = 0
        self._outcomes: list[ItemOutcome] = []
        self._sending = False
        self._send_paused_until = 0.0
        self._stopped = False
        self._renew_at: dict[str, float] = {}
        self._lanes: dict[str, tuple[EngineLane, str]] = {}
        self._releases: list[tuple[GrantedItem, bytes]] = []

    @property
    def running_leases(self) -> tuple[str, ...]:
        """The ids of the leases that this sidecar works on."""
        return tuple(self._lanes)

    @property
    def is_settled(self) -> bool:
        """Whether nothing is left to hand to an entry."""
        return not self._outcomes and not self._releases and not self._sending

    def want(self, lane: EngineLane, tokens: int, items: int) -> None:
        """Notes that the lane has room for batch work."""
        if not self._stopped:
            self._demands[lane] = _Demand(tokens, items)

    def stop(self) -> None:
        """Pulls nothing more; outcomes are still handed over."""
        self._stopped = True
        self._demands.clear()

    def drop_leases(self) -> None:
        """Stops all batch work at once, because its leases may have lapsed."""
        for lane, stream_id in self._lanes.values():
            lane.withdraw(stream_id)
        self._lanes.clear()

    def tick(self) -> None:
        """Starts the exchanges that are due, one at a time with each entry."""
        now = self._clock.monotonic()
        entries = self._entries()
        if self._demands and now >= self._paused_until:
            self._pull_from_next(entries)
        for entry in entries:
            if entry.name not in self._asking and self._needs_renewal(entry, now):
                spawn(self._exchange(entry, None, _Demand(0, 0)))
        has_news = bool(self._outcomes or self._releases)
        if has_news and not self._sending and now >= self._send_paused_until:
            spawn(self._deliver())

    def _pull_from_next(self, entries: Sequence[Instance]) -> None:
        if not entries:
            self._pause()
            return
        entry = entries[self._turn % len(entries)]
        if entry.name in self._asking:
            return
        self._turn += 1
        lane, demand = next(iter(self._demands.items()))
        del self._demands[lane]
        spawn(self._exchange(entry, lane, demand))

    def _needs_renewal(self, entry: Instance, now: float) -> bool:
        if not self._lanes and entry.name not in self._unanswered:
            return False
        return now >= self._renew_at.get(entry.name, 0.0)

    async def _exchange(
        self, entry: Instance, lane: EngineLane | None, demand: _Demand
    ) -> None:
        """Pulls from an entry, or only names the leases that are held.

        An entry takes back every earlier grant that a pull does not name; so the
        answer to one pull has to be known before the next one is sent to it.
        """
        self._asking.add(entry.name)
        self._unanswered.add(entry.name)
        pull = self._make_pull(demand)
        try:
            grants = await self._control.ask(entry.control_address, pull, ASK_TIMEOUT_S)
        except PomeloshiftError as exc:
            logger.warning(
                "event=pull_failed entry={} code={}", entry.name, exc.code.value
            )
            self._pause()
            return
        finally:
            self._asking.discard(entry.name)
            now = self._clock.monotonic()
            self._renew_at[entry.name] = now + RENEW_INTERVAL_S
        self._unanswered.discard(entry.name)
        self._take(lane, grants)

    def _make_pull(self, demand: _Demand) -> ItemPull:
        self._nonce += 1
        unsettled = [outcome.lease_id for outcome in self._outcomes]
        leaving = [item.lease_id for item, _ in self._releases]
        return ItemPull(
            self._instance.name,
            self._incarnation,
            self._nonce,
            self._instance.place.region,
            self._instance.service,
            demand.tokens,
            demand.items,
            (*self._lanes, *unsettled, *leaving),
        )

    def _take(self, lane: EngineLane | None, grants: Any) -> None:
        if not isinstance(grants, ItemGrants):
            self._pause()
            return
        self.cancel(grants.cancelled)
        if lane is None:
            return
        if not grants.items:
            self._pause()
            return
        self._empty_pulls = 0
        for item in grants.items:
            work = BatchWork(item, self._report, self._give_back)
            self._lanes[item.lease_id] = (lane, work.stream_id)
            lane.offer(work, work.resume)

    def cancel(self, lease_ids: Sequence[str]) -> None:
        """Stops the items of cancelled jobs."""
        for lease_id in lease_ids:
            known = self._lanes.pop(lease_id, None)
            if known is not None:
                lane, stream_id = known
                lane.withdraw(stream_id)

    def _pause(self) -> None:
        self._empty_pulls += 1
        pause = min(EMPTY_PULL_PAUSE_S * self._empty_pulls, MAX_EMPTY_PULL_PAUSE_S)
        jitter = 0.5 + self._rng.random()
        self._paused_until = self._clock.monotonic() + pause * jitter

    def _report(self, outcome: ItemOutcome) -> None:
        if self._lanes.pop(outcome.lease_id, None) is not None:
            self._outcomes.append(outcome)

    def _give_back(self, item: GrantedItem, resume: bytes) -> None:
        if self._lanes.pop(item.lease_id, None) is not None:
            self._releases.append((item, resume))

    async def _deliver(self) -> None:
        self._sending = True
        try:
            await self._deliver_to_one_entry()
        finally:
            self._sending = False

    async def _deliver_to_one_entry(self) -> None:
        entries = self._entries()
        if not entries:
            return
        entry = entries[self._rng.randrange(len(entries))]
        outcomes = self._outcomes[:MAX_OUTCOMES_PER_MESSAGE]
        releases = list(self._releases)
        try:
            if outcomes:
                await self._hand_over_outcomes(entry, outcomes)
            if releases:
                await self._hand_over_releases(entry, releases)
        except PomeloshiftError as exc:
            logger.warning(
                "event=delivery_failed entry={} code={}", entry.name, exc.code.value
            )
            now = self._clock.monotonic()
            self._send_paused_until = now + RESULT_RETRY_PAUSE_S

    async def _hand_over_outcomes(
        self, entry: Instance, outcomes: list[ItemOutcome]
    ) -> None:
        message = ItemResults(self._instance.name, self._incarnation, tuple(outcomes))
        answer = await self._control.ask(entry.control_address, message, ASK_TIMEOUT_S)
        if answer.error is not None:
            now = self._clock.monotonic()
            pause = answer.error.retry_after_s or RESULT_RETRY_PAUSE_S
            self._send_paused_until = now + pause
            return
        del self._outcomes[: len(outcomes)]

    async def _hand_over_releases(
        self, entry: Instance, releases: list[tuple[GrantedItem, bytes]]
    ) -> None:
        message = LeaseRelease(
            self._instance.name,
            tuple(item.lease_id for item, _ in releases),
            tuple(resume for _, resume in releases),
        )
        await self._control.ask(entry.control_address, message, ASK_TIMEOUT_S)
        del self._releases[: len(releases)]
