"""Decides from the state of its peers whether an entry is isolated from the store."""

from collections.abc import Iterable

from ._peer_loads import PeerState


def is_isolated(
    can_store: bool, peers: Iterable[PeerState], knows_others: bool
) -> bool:
    """Returns whether this entry alone has probably lost the store.

    ``peers`` are the states last received from other entries, and ``knows_others``
    is set if others exist. The entry is isolated if a peer can reach the store, or if
    no peer sends heartbeats though others exist. If no peer can reach the store
    either, the store itself is unavailable.
    """
    if can_store:
        return False
    states = list(peers)
    if not states:
        return knows_others
    return any(state.can_store for state in states)
