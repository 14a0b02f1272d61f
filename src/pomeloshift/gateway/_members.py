"""Determines which gateways share the batch work."""

from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import Fleet, LimitReport, PeerState, PeerView, RateReport, is_isolated
from ._batch_loop import BatchLoop
from ._peer_directory import PeerDirectory
from ._peer_exchange import PeerExchange
from ._store_link import StoreLink
from ._topic_follower import TopicFollower


@attrs.define
class Members:
    """Reports this gateway's state to its peers and assigns engines to gateways.

    ``follower`` reads the job log. As long as the job log of any gateway is current,
    gateways whose job log is not current own no engine. Neither does a gateway that has
    not heard its peers yet. ``is_draining`` is set when the process shuts down.
    ``report_rates`` returns what is reported of workspaces with rate limits.
    """

    ip: str
    fleet: Fleet
    peers: PeerExchange
    batch_loop: BatchLoop
    follower: TopicFollower
    store_link: StoreLink
    directory: PeerDirectory
    clock: Any
    _view: PeerView = attrs.field(factory=PeerView)
    is_draining: bool = False
    report_rates: Callable[[], RateReport | None] = lambda: None

    def attach(self) -> None:
        """Registers `own_state` as the state that the exchange sends."""
        self.peers.own_state = self.own_state

    def own_state(self) -> PeerState:
        """Returns the state that is sent to peers."""
        counts = {
            engine_id: engine.own_counts
            for engine_id, engine in self.fleet.engines.items()
            if engine.own > 0
        }
        return PeerState(
            counts,
            self.batch_loop.queue.claims(),
            self.is_draining,
            self._can_store,
            self._can_store and self.store_link.path.is_direct,
            self._limits(),
            self.report_rates(),
        )

    def _limits(self) -> dict[str, LimitReport]:
        now = self.clock.monotonic()
        reports = (
            (engine_id, engine.limit_report(now))
            for engine_id, engine in self.fleet.engines.items()
        )
        return {engine_id: report for engine_id, report in reports if report}

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway has lost the store while others reach it."""
        states = self.peers.loads.states.values()
        return is_isolated(self._can_store, states, self.peers.knows_others)

    def update_members(self) -> None:
        """Assigns the engines to the gateways that can run items and store results.

        If none can, all gateways that are not shutting down share the engines.
        """
        states = self.peers.loads.states
        if not self._knows_peers:
            self.batch_loop.set_members({})
            return
        if not self.is_isolated:
            states[self.ip] = self.own_state()
        staying = {name for name, state in states.items() if not state.is_leaving}
        able = {name for name in staying if states[name].can_store}
        members = {name: self.peers.zone_of(name) for name in able or staying}
        self.batch_loop.set_members(members)

    @property
    def _knows_peers(self) -> bool:
        if not self.directory.is_synced:
            return False
        heard = self.peers.loads.states.keys()
        now = self.clock.monotonic()
        return self._view.is_complete(self.peers.published, heard, now)

    @property
    def _can_store(self) -> bool:
        return self.follower.is_reachable and self.follower.is_synced
