"""What other entries tell of themselves and of their work at engines."""

from collections import Counter

import attrs

# An entry that was not heard for this long has stopped or is cut off; it sends its
# state at least twice a second.
PEER_VALID_S = 1.6


@attrs.frozen
class RequestCounts:
    """Requests under way at one engine."""

    online: int = 0
    batch: int = 0

    def plus(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the sum of both."""
        return RequestCounts(self.online + other.online, self.batch + other.batch)

    def minus(self, other: "RequestCounts") -> "RequestCounts":
        """Returns what is left without the other."""
        return RequestCounts(self.online - other.online, self.batch - other.batch)


NO_REQUESTS = RequestCounts()


@attrs.frozen
class PeerState:
    """The state of one entry.

    ``claims`` are the batch items that it runs, is about to go on with or is about to
    list. ``can_store`` says whether it reaches the store, ``is_relay`` whether it does
    so straight and can pass calls on.
    """

    work: dict[str, RequestCounts]
    claims: frozenset[int] = frozenset()
    is_leaving: bool = False
    can_store: bool = True
    is_relay: bool = False


NO_STATE = PeerState({})


@attrs.frozen
class _Heard:
    state: PeerState
    at: float


@attrs.define
class PeerLoads:
    """Keeps the newest state that each entry has sent, and their sums.

    Sums are kept up to date by what changed, since states come from every entry many
    times a second.

    changed = loads.note("10.1.0.10", PeerState({"i-7f3a": Work(online=3)}), now)
    loads.total("i-7f3a")
    """

    _peers: dict[str, _Heard] = attrs.field(factory=dict)
    _totals: dict[str, RequestCounts] = attrs.field(factory=dict)
    _claims: Counter[int] = attrs.field(factory=Counter)

    def note(self, peer: str, state: PeerState, now: float) -> set[str]:
        """Takes an entry's whole state; returns the engines whose sums changed."""
        known = self._peers.get(peer)
        self._peers[peer] = _Heard(state, now)
        return self._replace(known.state if known is not None else NO_STATE, state)

    def expire(self, now: float) -> list[str]:
        """Drops entries that fell silent and returns their names."""
        silent = [
            name for name, heard in self._peers.items() if now - heard.at > PEER_VALID_S
        ]
        for name in silent:
            self._replace(self._peers.pop(name).state, NO_STATE)
        return silent

    @property
    def states(self) -> dict[str, PeerState]:
        """The states of the entries that are heard."""
        return {name: heard.state for name, heard in self._peers.items()}

    def total(self, engine_id: str) -> RequestCounts:
        """Returns what all other entries have at an engine."""
        return self._totals.get(engine_id, NO_REQUESTS)

    def batch_holders(self, engine_id: str) -> dict[str, int]:
        """Returns how many batch items each other entry has at an engine."""
        if self.total(engine_id).batch == 0:
            return {}
        held = {}
        for name, heard in self._peers.items():
            work = heard.state.work.get(engine_id)
            if work is not None and work.batch > 0:
                held[name] = work.batch
        return held

    def is_claimed(self, claim: int) -> bool:
        """Whether another entry keeps an item."""
        return claim in self._claims

    def claimants(self, claim: int) -> list[str]:
        """Returns the other entries that keep an item."""
        return [n for n, heard in self._peers.items() if claim in heard.state.claims]

    def _replace(self, old: PeerState, new: PeerState) -> set[str]:
        if old.claims != new.claims:
            self._claims.update(new.claims - old.claims)
            for claim in old.claims - new.claims:
                self._claims[claim] -= 1
                if self._claims[claim] == 0:
                    del self._claims[claim]
        if old.work == new.work:
            return set()
        engine_ids = old.work.keys() | new.work.keys()
        return {one for one in engine_ids if self._change_total(one, old, new)}

    def _change_total(self, engine_id: str, old: PeerState, new: PeerState) -> bool:
        before = old.work.get(engine_id, NO_REQUESTS)
        after = new.work.get(engine_id, NO_REQUESTS)
        if before == after:
            return False
        total = self.total(engine_id).plus(after).minus(before)
        if total == NO_REQUESTS:
            del self._totals[engine_id]
        else:
            self._totals[engine_id] = total
        return True
