"""Which entries share the batch work."""

import attrs

from ..dispatch import Fleet, PeerState, is_isolated
from ._batch_loop import BatchLoop
from ._peer_exchange import PeerExchange
from ._store_link import StoreLink
from ._topic_follower import TopicFollower


@attrs.define
class Members:
    """Tells other entries of this one, and spreads the engines over all of them.

    ``follower`` reads the job log; an entry whose job log is not current owns no
    engine. ``is_draining`` is set when the process leaves.
    """

    ip: str
    fleet: Fleet
    peers: PeerExchange
    batch_loop: BatchLoop
    follower: TopicFollower
    store_link: StoreLink
    is_draining: bool = False

    def attach(self) -> None:
        """Lets the exchange ask for this entry's state."""
        self.peers.own_state = self.own_state

    def own_state(self) -> PeerState:
        """Returns what other entries are told."""
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
        )

    @property
    def is_isolated(self) -> bool:
        """Whether this entry has lost the store while others have it."""
        states = self.peers.loads.states.values()
        return is_isolated(self._can_store, states, self.peers.knows_others)

    def update_members(self) -> None:
        """Spreads the engines over the entries that can run items and keep results."""
        states = self.peers.loads.states
        if not self.is_isolated:
            states[self.ip] = self.own_state()
        staying = {name for name, state in states.items() if not state.is_leaving}
        able = {name for name in staying if states[name].can_store}
        members = {name: self.peers.zone_of(name) for name in able or staying}
        self.batch_loop.set_members(members)

    @property
    def _can_store(self) -> bool:
        return self.follower.is_reachable and self.follower.is_synced
