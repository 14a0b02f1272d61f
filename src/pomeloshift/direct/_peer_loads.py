"""What other entries tell of themselves and of their work at engines."""

import attrs

# An entry that was not heard for this long has stopped or is cut off; it sends its
# state at least twice a second.
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
class PeerState:
    """The state of one entry.

    ``claims`` are the batch items that it runs, is about to go on with or is about to
    list. ``can_store`` says whether it reaches the store, ``is_relay`` whether it does
    so straight and can pass calls on.
    """

    work: dict[str, Work]
    claims: frozenset[int] = frozenset()
    is_leaving: bool = False
    can_store: bool = True
    is_relay: bool = False


@attrs.frozen
class _Heard:
    state: PeerState
    at: float


@attrs.define
class PeerLoads:
    """Keeps the newest state that each entry has sent.

    loads.note("10.1.0.10", PeerState({"i-7f3a": Work(online=3, batch=1)}), now)
    loads.total("i-7f3a")
    """

    _peers: dict[str, _Heard] = attrs.field(factory=dict)

    def note(self, peer: str, state: PeerState, now: float) -> None:
        """Takes an entry's whole state."""
        self._peers[peer] = _Heard(state, now)

    def expire(self, now: float) -> list[str]:
        """Drops entries that fell silent and returns their names."""
        silent = [
            name for name, heard in self._peers.items() if now - heard.at > PEER_VALID_S
        ]
        for name in silent:
            del self._peers[name]
        return silent

    @property
    def states(self) -> dict[str, PeerState]:
        """The states of the entries that are heard."""
        return {name: heard.state for name, heard in self._peers.items()}

    def total(self, engine_id: str) -> Work:
        """Returns what all other entries have at an engine."""
        total = NO_WORK
        for heard in self._peers.values():
            work = heard.state.work.get(engine_id)
            if work is not None:
                total = total.plus(work)
        return total

    def batch_holders(self, engine_id: str) -> dict[str, int]:
        """Returns how many batch items each other entry has at an engine."""
        held = {}
        for name, heard in self._peers.items():
            work = heard.state.work.get(engine_id)
            if work is not None and work.batch > 0:
                held[name] = work.batch
        return held

    def is_claimed(self, claim: int) -> bool:
        """Whether another entry keeps an item."""
        return any(claim in heard.state.claims for heard in self._peers.values())

    def claimants(self, claim: int) -> list[str]:
        """Returns the other entries that keep an item."""
        return [n for n, heard in self._peers.items() if claim in heard.state.claims]
