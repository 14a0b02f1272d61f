"""What other entries have under way at each engine."""

import attrs

# An entry that was not heard for this long has stopped or is cut off; it sends its
# work at least twice a second.
PEER_VALID_S = 1.6


@attrs.frozen
class Work:
    """Requests under way at one engine."""

    online: int = 0
    batch: int = 0

    def plus(self, other: "Work") -> "Work":
        """Returns the sum of both."""
        return Work(self.online + other.online, self.batch + other.batch)


NO_WORK = Work()


@attrs.frozen
class _Peer:
    work: dict[str, Work]
    heard_at: float


@attrs.define
class PeerLoads:
    """Keeps the newest state that each entry has sent.

    loads.note("entry-2", {"i-7f3a": Work(online=3, batch=1)}, now)
    loads.total("i-7f3a", now)
    """

    _peers: dict[str, _Peer] = attrs.field(factory=dict)

    def note(self, peer: str, work: dict[str, Work], now: float) -> None:
        """Takes an entry's whole state."""
        self._peers[peer] = _Peer(work, now)

    def expire(self, now: float) -> list[str]:
        """Drops entries that fell silent and returns their names."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at > PEER_VALID_S
        ]
        for name in silent:
            del self._peers[name]
        return silent

    @property
    def count(self) -> int:
        """The number of entries that are heard."""
        return len(self._peers)

    def total(self, engine_id: str) -> Work:
        """Returns what all other entries have at an engine."""
        total = NO_WORK
        for peer in self._peers.values():
            work = peer.work.get(engine_id)
            if work is not None:
                total = total.plus(work)
        return total

    def batch_holders(self, engine_id: str) -> dict[str, int]:
        """Returns how many batch items each other entry has at an engine."""
        held = {}
        for name, peer in self._peers.items():
            work = peer.work.get(engine_id)
            if work is not None and work.batch > 0:
                held[name] = work.batch
        return held
