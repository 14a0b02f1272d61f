"""Paces the requests of all entries at an engine that names a limit."""

import attrs

# How long an entry leaves a request to the entry ranked before it: about the time until
# a heartbeat reports that it was sent.
STAGGER_S = 0.1
# Entries that rank later than this, or do not know their rank, wait equally long.
MAX_RANK = 10
# Time in which an entry that learns of a limit receives the first report of each other
# one: more than the two seconds within which each reports all limits.
FIRST_REPORTS_S = 3.0
# Largest number of processes of other entries whose requests are known; those without a
# report for the longest are forgotten.
MAX_PEERS = 1000
# Least rate, in requests a second, so that an engine that named 0 can be asked again.
MIN_RATE = 0.1


@attrs.define
class EngineLimit:
    """An account of the requests that an engine takes from all entries together.

    The account accrues ``rate`` requests a second, up to what the last rank needs. Each
    entry charges its own requests and those that other entries report, so that all
    accounts agree but for the latency of heartbeats. Entries that send at the same
    moment overdraw it, and wait until that is made up for.

    Designed for limits of a few requests a second at tens of entries. The platform
    allows one and a half times the limit, and five requests more, in four seconds.

        limit = EngineLimit(rate=2.0, accrued_at=now)
        limit.wait_s(rank=0, now=now)  # 0.5
    """

    rate: float
    accrued_at: float
    balance: float = 0.0
    sent: int = 0
    _known_since: float = attrs.field(init=False)
    _sent_by_peers: dict[str, int] = attrs.field(factory=dict, init=False)

    @_known_since.default
    def _now(self) -> float:
        return self.accrued_at

    def change_rate(self, rate: float, now: float) -> None:
        """Applies another limit that the engine named."""
        self._accrue(now)
        self.rate = rate

    def charge(self, now: float) -> None:
        """Records that this entry sends a request."""
        self._accrue(now)
        self.balance -= 1
        self.sent += 1

    def note_peer(self, peer: str, sent: int, now: float) -> None:
        """Records the requests that another entry has sent since it knows the limit.

        ``peer`` names its process. What it sent before this entry knew the limit is not
        charged.
        """
        self._accrue(now)
        is_first = now - self._known_since < FIRST_REPORTS_S
        known = self._sent_by_peers.pop(peer, sent if is_first else 0)
        self.balance -= max(0, sent - known)
        self._sent_by_peers[peer] = max(sent, known)
        if len(self._sent_by_peers) > MAX_PEERS:
            del self._sent_by_peers[next(iter(self._sent_by_peers))]

    def wait_s(self, rank: int, now: float) -> float:
        """Returns the seconds until this entry may send a request, 0 if it may now.

        ``rank`` is this entry's place, from 0, in the order in which entries may use
        what the limit allows.
        """
        self._accrue(now)
        stagger_s = STAGGER_S * min(rank, MAX_RANK)
        missing = 1 + stagger_s * self._rate - self.balance
        return max(0.0, missing / self._rate)

    @property
    def _rate(self) -> float:
        return max(self.rate, MIN_RATE)

    def _accrue(self, now: float) -> None:
        most = 1 + STAGGER_S * MAX_RANK * self._rate
        accrued = self.balance + self._rate * max(0.0, now - self.accrued_at)
        self.balance = min(most, accrued)
        self.accrued_at = now


@attrs.frozen
class LimitReport:
    """What an entry reports of an engine's limit.

    ``rate`` is the limit that the engine named last, None if its last response named
    none; ``named_at`` is the time of that response. ``sent`` counts the requests of the
    entry since it knows the limit. ``incarnation`` is that of the engine. Reports that
    differ only in ``named_at`` are equal: other entries need not be told.
    """

    incarnation: int
    rate: float | None
    named_at: float = attrs.field(eq=False)
    sent: int = 0
