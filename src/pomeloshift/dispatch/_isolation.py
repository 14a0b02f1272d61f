"""Judges from what an entry hears whether it is the one that is cut off."""

from collections.abc import Iterable

from ._peer_loads import PeerState


def is_isolated(
    can_store: bool, heard: Iterable[PeerState], knows_others: bool
) -> bool:
    """Whether the store is likely to answer others though it does not answer here.

    That is so if an entry that is heard reaches the store, or if none is heard though
    others exist. If all that are heard have lost the store too, the store is away.
    """
    if can_store:
        return False
    states = list(heard)
    if not states:
        return knows_others
    return any(state.can_store for state in states)
