"""The rate limit of one workspace, kept by all gateways together."""

import math
from collections import deque

import attrs

from ..dispatch import RequestCounters
from ..limits import ReportedCounts, TokenBucket

# Latest return for which a refused caller is expected: callers follow no longer
# `Retry-After` than a third of their remaining time.
MAX_RETURN_S = 2.0
# How long charges are remembered: longer than it takes to find that a gateway is not
# heard any more.
CHARGED_S = 1.0
# A part of the limit above this share is the only one of its size. It may always save
# up one request, so that a small burst does not stop the workspace.
MAJORITY = 0.5
# Largest number of processes of other gateways whose counters are known: twice the
# target size, as restarted processes count anew.
MAX_PEERS = 5000


@attrs.frozen
class RateDecision:
    """Whether a request is within its workspace's limit, and what decided it.

    ``wait_s`` is 0 if it is, else the seconds until the limit admits it. ``share`` is
    the part of the limit that this gateway and those that it hears may use.
    """

    wait_s: float
    balance: float = math.inf
    rate: float = 0.0
    share: float = 1.0

    @property
    def is_allowed(self) -> bool:
        """Whether the request is within the limit."""
        return self.wait_s <= 0


UNLIMITED = RateDecision(0.0)


class SharedRate:
    """An account of a workspace's requests at all gateways.

    Each gateway keeps one. It accrues the rate up to the burst, and is charged with the
    gateway's own requests and with those that other gateways report, so that all
    accounts agree but for the latency of heartbeats. Gateways that spend the same
    balance within that latency overdraw it, and wait until that is made up for.

    ``share`` is the part of the limit that belongs to this gateway and those that it
    hears, 0 until it is known. The balance of the others is set aside as it was when
    they were last heard, accrues their part of the rate, and comes back with them.
    While some are not heard, each part may also save up its share of ``reserve``
    requests: a small part could otherwise never send one.

    Designed for rates from under one to some tens of requests a second and a demand of
    up to seven times as much, at 3 to 300 gateways that hear of each other's requests
    within 0.1 s.

        account = SharedRate(rate=2.0, burst=4.0, reserve=10.0, balance=0.0, now=0.0)
        account.set_share(1.0, now=0.0)
        account.check(now=0.1).wait_s  # 0.4
    """

    def __init__(
        self, rate: float, burst: float, reserve: float, balance: float, now: float
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.reserve = reserve
        self.share = 0.0
        self.taken = 0
        self.returned = 0
        self.refused = 0
        # What was charged lately, with the times.
        self._charged: deque[tuple[float, int]] = deque()
        self._taken_by_peers = ReportedCounts(MAX_PEERS)
        self._returned_by_peers = ReportedCounts(MAX_PEERS)
        self._refused_by_peers = ReportedCounts(MAX_PEERS)
        self._usable = TokenBucket(0.0, 0.0, level=0.0, filled_at=now)
        self._aside = TokenBucket(rate, burst, level=balance, filled_at=now)
        # Below 0 by the number of refused callers that are expected to return.
        self._returns = TokenBucket(rate, 0.0, filled_at=now)

    def set_limit(self, rate: float, burst: float, reserve: float, now: float) -> None:
        """Applies another limit; what was used stays charged."""
        self.rate, self.burst, self.reserve = rate, burst, reserve
        self._resize(now)

    def set_share(self, share: float, now: float, since: float = math.inf) -> None:
        """Applies another share of the limit, between 0 and 1.

        ``since`` is when the gateways that are no longer heard may have been cut off.
        What was charged from then on they do not know: it is charged to the smaller
        share alone.
        """
        shrinking, growing = self._usable, self._aside
        part = (self.share - share) / self.share if share < self.share else 0.0
        if share > self.share:
            shrinking, growing = growing, shrinking
            part = (share - self.share) / (1 - self.share)
        shrinking.fill(now)
        moved = shrinking.level * part
        if shrinking is self._usable:
            moved += part * sum(units for at, units in self._charged if at >= since)
        shrinking.level -= moved
        self.share = share
        self._resize(now)
        growing.put(now, moved)

    def check(self, now: float) -> RateDecision:
        """Returns whether a request is within the limit; charges nothing."""
        wait_s = self._usable.wait_s(now)
        level = self._usable.level
        return RateDecision(wait_s, level, self.rate, self.share)

    def refuse(self, now: float) -> float:
        """Records that a caller is refused; returns the seconds until it should return.

        Callers return one after the other at the rate of the limit, in the order of
        their refusals at all gateways: all at once, they would overdraw the balance.
        """
        wait_s = self.check(now).wait_s + self._returns.wait_s(now, 0.0)
        if wait_s <= MAX_RETURN_S:
            self._returns.charge(now)
            self.refused += 1
        return wait_s

    def take(self, now: float) -> None:
        """Records that this gateway sends a request."""
        self._charge(1, now)
        self.taken += 1

    def put_back(self, now: float) -> None:
        """Records that a request that was taken has not run."""
        self._charge(-1, now)
        self.returned += 1

    def note_peer(
        self, peer: str, counts: RequestCounters, is_start: bool, now: float
    ) -> None:
        """Records the counts of another gateway since it started.

        ``peer`` names its process. With ``is_start``, its first report is only the
        start of the count: it may be older than this account.
        """
        taken, returned, refused = counts
        units = self._taken_by_peers.advance(peer, taken, is_start)
        self._charge(units, now)
        if returned > 0:
            units = self._returned_by_peers.advance(peer, returned, is_start)
            self._charge(-units, now)
        if refused > 0:
            units = self._refused_by_peers.advance(peer, refused, is_start)
            self._returns.charge(now, units)

    def _charge(self, units: int, now: float) -> None:
        if units == 0:
            return
        self._usable.put(now, -units)
        self._charged.append((now, units))
        while self._charged[0][0] < now - CHARGED_S:
            self._charged.popleft()

    def _resize(self, now: float) -> None:
        share, rest = self.share, 1 - self.share
        if share >= 1:
            most = max(1.0, self.burst)
        else:
            most = share * (self.burst + self.reserve)
            if share > MAJORITY:
                most = max(1.0, most)
        self._usable.resize(share * self.rate, most, now)
        self._returns.resize(share * self.rate, 0.0, now)
        self._aside.resize(rest * self.rate, rest * (self.burst + self.reserve), now)
