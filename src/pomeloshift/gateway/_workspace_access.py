"""Checks callers' keys and keeps the lease under which they are served."""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ..dispatch import ConfigHolder, ServingConfig
from ..errors import PomeloshiftError
from ..net._periodic_tasks import PeriodicTasks, spawn
from ..platform import CALL_TIMEOUT_S, CallerRequest
from ..workspaces import Caller, KeyCheck, KeyDecision
from ._batch_api import BatchApi
from ._batch_loop import BatchLoop
from ._events import EventLog
from ._online_service import OnlineService
from ._timing import CONFIG_MAX_AGE_S, LEASE_TICK_S, POLL_S
from ._topic_follower import TopicFollower


@attrs.define
class WorkspaceAccess:
    """Decides with the newest configuration whether a caller is served.

    ``follower`` reads the configuration; each read that confirms it renews the lease.
    ``relays`` returns the addresses of gateways that relay reads to the store.
    """

    config: ConfigHolder
    check: KeyCheck
    follower: TopicFollower
    relays: Callable[[], frozenset[str]]
    random: Random
    events: EventLog
    clock: Any
    _read: Deferred[Exception | None] | None = None
    _read_at: float = 0.0
    _renewal: Deferred[Any] | None = None
    _was_valid: bool = False

    def attach(
        self, online: OnlineService, batch: BatchApi, batch_loop: BatchLoop
    ) -> None:
        """Registers the checks of the lease with the services."""
        online.may_send = self.may_send
        batch.may_accept = batch_loop.may_start = self.may_start

    def start(self, periodic_tasks: PeriodicTasks) -> None:
        """Starts to renew the lease where revocation is strict."""
        if self.check.lease.revocation_s is not None:
            periodic_tasks.repeat(self.tick, LEASE_TICK_S)

    def apply_config(self, config: ServingConfig) -> None:
        """Polls often enough for the lease where callers have workspaces."""
        poll_s = min(POLL_S, self.check.lease.poll_s)
        self.follower.poll_s = poll_s if config.has_workspaces else POLL_S

    @property
    def lease_age_s(self) -> float:
        """The seconds since the configuration was confirmed, infinity if never."""
        return self.check.lease.age(self._now())

    def oldest_current(self) -> float:
        """Returns since when a configuration must be confirmed to count as current."""
        return self._now() - CONFIG_MAX_AGE_S

    def decide(
        self,
        req: CallerRequest,
        config: ServingConfig,
        is_anonymous: bool,
        priority: int,
        current_since: float,
    ) -> KeyDecision:
        """Returns what to do with a request; see `KeyCheck.decide`."""
        return self.check.decide(
            config, req.api_key, is_anonymous, priority, self._now(), current_since
        )

    def may_send(self, caller: Caller) -> bool:
        """Returns whether a request of this caller may be sent to an engine now."""
        return caller.workspace is None or self.check.lease.is_valid(self._now())

    def may_start(self) -> bool:
        """Whether jobs may be accepted and items started, and the gateway is ready."""
        return not self._has_workspaces or self.check.lease.is_valid(self._now())

    @property
    def _has_workspaces(self) -> bool:
        return self.config.current is not None and self.config.current.has_workspaces

    async def read_since(self, current_since: float) -> None:
        """Reads the configuration to its end, not earlier than at ``current_since``.

        Callers that wait at the same time share a read. Raises an error of the store if
        it cannot be read.
        """
        while self.check.lease.confirmed_at < current_since:
            read = self._read
            if read is None or read.called or self._read_at < current_since:
                self._read_at = self._now()
                read = self._read = Deferred.fromCoroutine(self._read_to_end())
            error = await _outcome(read)
            if error is not None:
                raise error

    async def _read_to_end(self) -> Exception | None:
        """Returns the error that ended the read, for all that wait for it."""
        try:
            await self.follower.catch_up()
        except Exception as exc:
            return exc
        return None

    def tick(self) -> None:
        """Reads the configuration through another path if the lease becomes old."""
        if not self._has_workspaces:
            return
        now = self._now()
        lease = self.check.lease
        self._note_validity(lease.is_valid(now))
        is_reading = self._renewal is not None and not self._renewal.called
        if not is_reading and lease.needs_read(now) and self.follower.is_synced:
            self._renewal = spawn(self._renew())

    async def _renew(self) -> None:
        """Reads once, through a relay if there is one.

        The follower's own read may wait on a silent connection. While the store does
        not respond and there is no relay, the follower's retries are enough.
        """
        relays = sorted(self.relays())
        relay = self.random.choice(relays) if relays else None
        try:
            if relay is not None:
                await self.follower.read_beside(self.check.lease.read_timeout_s, relay)
            elif self.follower.is_reachable:
                await self.follower.read_beside(CALL_TIMEOUT_S)
        except PomeloshiftError as exc:
            self.events.info(
                "lease_not_renewed",
                path=relay or "direct",
                age_s=self.lease_age_s,
                code=exc.code.value,
                why=exc.message,
            )

    def _note_validity(self, is_valid: bool) -> None:
        if is_valid == self._was_valid:
            return
        self._was_valid = is_valid
        age_s = self.lease_age_s
        if is_valid:
            self.events.warn("lease_renewed", age_s=age_s)
        else:
            self.events.warn("lease_expired", age_s=age_s)

    def _now(self) -> float:
        return float(self.clock.boottime())


def _outcome(shared: Deferred[Exception | None]) -> Deferred[Exception | None]:
    """Returns a deferred of its own with the result of one that several wait for."""
    own: Deferred[Exception | None] = Deferred()

    def pass_on(result: Exception | None) -> Exception | None:
        own.callback(result)
        return result

    shared.addCallback(pass_on)
    return own
