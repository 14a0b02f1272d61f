"""Paces the requests of all entries at an engine that names a limit."""

import attrs

from ..limits import ReportedCounts, TokenBucket

# How long an entry leaves a request to the entry ranked before it: about the time until
# a heartbeat reports that it was sent.
STAGGER_S = 0.1
# Entries that rank later than this, or do not know their rank, wait equally long.
MAX_RANK = 10
# Time in which an entry that learns of a limit receives the first report of each other
# one: more than the two seconds within which each reports all limits.
FIRST_REPORTS_S = 3.0
# Least rate, in requests a second, so that an engine that named 0 can be asked again.
MIN_RATE = 0.1


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

    def __init__(self, rate: float, accrued_at: float, balance: float = 0.0) -> None:
        self.rate = rate
        self.sent = 0
        self._known_since = accrued_at
        self._sent_by_peers = ReportedCounts()
        used, most = max(rate, MIN_RATE), _most(rate)
        self._bucket = TokenBucket(used, most, level=balance, filled_at=accrued_at)

    @property
    def balance(self) -> float:
        """The requests that may be sent; below 0 if too many were."""
        return self._bucket.level

    def change_rate(self, rate: float, now: float) -> None:
        """Applies another limit that the engine named."""
        self.rate = rate
        self._bucket.resize(max(rate, MIN_RATE), _most(rate), now)

    def charge(self, now: float) -> None:
        """Records that this entry sends a request."""
        self._bucket.charge(now)
        self.sent += 1

    def note_peer(self, peer: str, sent: int, now: float) -> None:
        """Records the requests that another entry has sent since it knows the limit.

        ``peer`` names its process. What it sent before this entry knew the limit is not
        charged.
        """
        is_first = now - self._known_since < FIRST_REPORTS_S
        self._bucket.charge(now, self._sent_by_peers.advance(peer, sent, is_first))

    def wait_s(self, rank: int, now: float) -> float:
        """Returns the seconds until this entry may send a request, 0 if it may now.

        ``rank`` is this entry's place, from 0, in the order in which entries may use
        what the limit allows.
        """
        stagger_s = STAGGER_S * min(rank, MAX_RANK)
        return self._bucket.wait_s(now, 1 + stagger_s * self._bucket.rate)


def _most(rate: float) -> float:
    """Returns the largest balance: what the last rank needs."""
    return 1 + STAGGER_S * MAX_RANK * max(rate, MIN_RATE)


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
