"""The state that other entries report, and the sums of their requests by engine."""

from collections import Counter
from typing import NamedTuple

import attrs

from ._engine_limit import LimitReport

# An entry without a heartbeat for this long has stopped or is isolated. Entries send
# their state at least twice a second.
PEER_VALID_S = 1.6
# How long the items of an entry that sends nothing are left to it. It may only be slow
# or cut off from some, and most of its runs end within this time; one that starts again
# says at once what it runs.
SILENT_CLAIMS_S = 4.0


@attrs.frozen
class RequestCounts:
    """The numbers of online and batch requests in flight at one engine."""

    online: int = 0
    batch: int = 0

    def plus(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the sum of both."""
        return RequestCounts(self.online + other.online, self.batch + other.batch)

    def minus(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the difference of both."""
        return RequestCounts(self.online - other.online, self.batch - other.batch)


NO_REQUESTS = RequestCounts()


class RequestCounters(NamedTuple):
    """The requests of one workspace that a process has counted since it started.

    ``taken`` were charged to the rate limit, of which ``returned`` did not run.
    ``refused`` were refused because of it, and their callers are expected to return.
    """

    taken: int
    returned: int
    refused: int


@attrs.frozen
class RateReport:
    """What a process that started at ``started_at`` reports of each workspace."""

    started_at: float = attrs.field(eq=False)
    counters: dict[str, RequestCounters]


@attrs.frozen
class PeerState:
    """The state of one entry.

    ``counts`` holds its numbers of requests by engine id. ``claims`` holds hashes of
    the batch items that it runs, is about to resume or is about to list. ``can_store``
    is set if the entry can reach the store, ``is_relay`` if it reaches the store
    directly and can relay calls of other entries. ``limits`` holds its reports of the
    limits that engines name, by engine id. ``rates`` is its report of the requests of
    workspaces with a rate limit, if it has sent any.
    """

    counts: dict[str, RequestCounts]
    claims: frozenset[int] = frozenset()
    is_leaving: bool = False
    can_store: bool = True
    is_relay: bool = False
    limits: dict[str, LimitReport] = attrs.field(factory=dict)
    rates: RateReport | None = None


NO_STATE = PeerState({})


@attrs.frozen
class _LastState:
    state: PeerState
    at: float


@attrs.define
class PeerLoads:
    """Holds the newest state of each other entry, and the sums of their requests.

    The sums are updated incrementally, since every entry sends its state many times
    a second. An entry that sends nothing no longer counts, but keeps its claims until
    `SILENT_CLAIMS_S` after its last state.

    state = PeerState({"i-7f3a": RequestCounts(online=3)})
    changed = loads.update("10.1.0.10", state, now)
    loads.total("i-7f3a")
    """

    _peers: dict[str, _LastState] = attrs.field(factory=dict)
    _totals: dict[str, RequestCounts] = attrs.field(factory=dict)
    _claims: Counter[int] = attrs.field(factory=Counter)
    # The claims of entries that have expired.
    _silent: dict[str, _LastState] = attrs.field(factory=dict)

    def update(self, peer: str, state: PeerState, now: float) -> set[str]:
        """Applies an entry's full state; returns the engines whose sums changed."""
        previous = self._peers.get(peer) or self._silent.pop(peer, None)
        self._peers[peer] = _LastState(state, now)
        return self._replace(
            previous.state if previous is not None else NO_STATE, state
        )

    def expire(self, now: float) -> list[str]:
        """Drops entries that sent nothing for `PEER_VALID_S`; returns their names."""
        expired = [
            name for name, last in self._peers.items() if now - last.at > PEER_VALID_S
        ]
        for name in expired:
            last = self._peers.pop(name)
            silent = PeerState({}, last.state.claims)
            self._replace(last.state, silent)
            self._silent[name] = _LastState(silent, last.at)
        for name, last in list(self._silent.items()):
            if now - last.at > SILENT_CLAIMS_S:
                del self._silent[name]
                self._replace(last.state, NO_STATE)
        return expired

    @property
    def states(self) -> dict[str, PeerState]:
        """The last state of each entry that has not expired, by name."""
        return {name: last.state for name, last in self._peers.items()}

    def total(self, engine_id: str) -> RequestCounts:
        """Returns the requests of all other entries at an engine."""
        return self._totals.get(engine_id, NO_REQUESTS)

    def batch_holders(self, engine_id: str) -> dict[str, int]:
        """Returns how many batch items each other entry has at an engine."""
        if self.total(engine_id).batch == 0:
            return {}
        held = {}
        for name, last in self._peers.items():
            counts = last.state.counts.get(engine_id)
            if counts is not None and counts.batch > 0:
                held[name] = counts.batch
        return held

    def is_claimed(self, claim: int) -> bool:
        """Returns whether another entry runs or holds the item with this claim.

        An entry that has sent nothing for a short time may still run it.
        """
        return claim in self._claims

    def claimants(self, claim: int) -> list[str]:
        """Returns the names of the other entries that claim a batch item."""
        return [n for n, last in self._peers.items() if claim in last.state.claims]

    def _replace(self, old: PeerState, new: PeerState) -> set[str]:
        if old.claims != new.claims:
            self._claims.update(new.claims - old.claims)
            for claim in old.claims - new.claims:
                self._claims[claim] -= 1
                if self._claims[claim] == 0:
                    del self._claims[claim]
        if old.counts == new.counts:
            return set()
        engine_ids = old.counts.keys() | new.counts.keys()
        return {one for one in engine_ids if self._change_total(one, old, new)}

    def _change_total(self, engine_id: str, old: PeerState, new: PeerState) -> bool:
        before = old.counts.get(engine_id, NO_REQUESTS)
        after = new.counts.get(engine_id, NO_REQUESTS)
        if before == after:
            return False
        total = self.total(engine_id).plus(after).minus(before)
        if total == NO_REQUESTS:
            del self._totals[engine_id]
        else:
            self._totals[engine_id] = total
        return True
