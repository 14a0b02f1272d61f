"""Decides whether an entry has heard from its peers."""

from collections.abc import Set

import attrs

from ._peer_loads import PEER_VALID_S

# How long an entry that hears no peer, though others exist, assumes that the fault is
# its own and not a loss of all others.
ALONE_S = 5.0


@attrs.define
class PeerView:
    """Tracks whether an entry knows what its peers run.

    An entry that does not know it would start the same batch items. It therefore waits
    until it has heard all published peers, but no longer than `PEER_VALID_S`, in which
    each live peer sends a heartbeat, or `ALONE_S` if it hears none.

        view = PeerView()
        view.is_complete({"10.1.0.10"}, set(), now=3.0)  # False until 8.0
    """

    _is_alone: bool | None = None
    _since: float = 0.0

    def is_complete(self, published: Set[str], heard: Set[str], now: float) -> bool:
        """Returns whether every live peer has probably been heard.

        ``published`` names the other entries that exist, ``heard`` those whose state is
        valid; ``now`` is in monotonic seconds.
        """
        is_alone = published.isdisjoint(heard)
        if is_alone != self._is_alone:
            self._is_alone = is_alone
            self._since = now
        if published <= heard:
            return True
        return now - self._since >= (ALONE_S if is_alone else PEER_VALID_S)
