"""The rate limits of all workspaces."""

import math
from collections.abc import Iterable, Mapping

import attrs

from ..dispatch import RequestCounters, Workspace
from ._shared_rate import UNLIMITED, RateDecision, SharedRate

# The part of what the platform allows beyond the limit that gateways which do not hear
# each other may use. The rest covers the latency of heartbeats.
RESERVE_SHARE = 0.5


@attrs.frozen
class RateSettings:
    """How exactly limits hold: what may run in each window of ``window_s`` seconds.

    That is what the rate and the burst allow, the share ``overrun`` of it and ``slack``
    requests more. ``is_first_start`` is set if the whole deployment starts for the
    first time, so that no request has run yet.
    """

    window_s: float = 5.0
    overrun: float = 0.0
    slack: float = 0.0
    is_first_start: bool = False

    def reserve(self, workspace: Workspace) -> float:
        """Returns the requests that unheard gateways may use beyond the limit."""
        allowed = workspace.rate_per_s * self.window_s + workspace.burst
        return RESERVE_SHARE * (allowed * self.overrun + self.slack)


class Rates:
    """Decides which requests are within the limits of their workspaces.

    A process starts without a balance, because others may have spent it, and knows no
    limit of a workspace before `apply` has named it. ``counters`` holds, for each
    workspace of which a request was taken or refused, what this process has counted;
    other gateways learn it from heartbeats.

    Designed for 250 workspaces at 2,300 gateways.

        rates = Rates(RateSettings(), now)
        rates.apply([workspace], now)
        rates.set_share(1.0, now)
        if rates.check(workspace, now).is_allowed:
            rates.take(workspace, now)
    """

    def __init__(self, settings: RateSettings, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.share = 0.0
        self.counters: dict[str, RequestCounters] = {}
        self._accounts: dict[str, SharedRate] = {}
        self._limited: frozenset[str] = frozenset()
        # Workspaces that were added while this process ran.
        self._added: set[str] = set()
        self._applied_at: float | None = None

    def apply(self, workspaces: Iterable[Workspace], now: float) -> None:
        """Applies the limits of a configuration.

        The account of a workspace that has no limit any more is kept: its counters must
        not begin anew within a process.
        """
        limited = [one for one in workspaces if one.rate_per_s > 0]
        for workspace in limited:
            self._apply(workspace, now)
        self._limited = frozenset(one.name for one in limited)
        if self._applied_at is None:
            self._applied_at = now

    def _apply(self, workspace: Workspace, now: float) -> None:
        rate, burst = workspace.rate_per_s, workspace.burst
        reserve = self.settings.reserve(workspace)
        account = self._accounts.get(workspace.name)
        if account is not None:
            account.set_limit(rate, burst, reserve, now)
            return
        # Other processes may have spent the burst of a workspace that this one finds in
        # the configuration when it starts, but not of one that is added later.
        if self._applied_at is not None:
            is_added = now - self._applied_at > self.settings.window_s
        else:
            is_added = self.settings.is_first_start
        if is_added:
            self._added.add(workspace.name)
        account = SharedRate(rate, burst, reserve, burst if is_added else 0.0, now)
        account.set_share(self.share, now)
        self._accounts[workspace.name] = account

    def set_share(self, share: float, now: float, since: float = math.inf) -> None:
        """Applies the share of gateways that hear each other, this one included.

        ``since`` is when those that are no longer heard may have been cut off.
        """
        if share == self.share:
            return
        self.share = share
        for account in self._accounts.values():
            account.set_share(share, now, since)

    def check(self, workspace: Workspace, now: float) -> RateDecision:
        """Returns whether a request of a workspace is within its limit."""
        if workspace.name not in self._limited:
            return UNLIMITED
        return self._accounts[workspace.name].check(now)

    def balances(self, now: float) -> dict[str, float]:
        """Returns the balance of each workspace with a limit."""
        return {
            name: account.check(now).balance
            for name, account in self._accounts.items()
            if name in self._limited
        }

    def refuse(self, workspace: Workspace, now: float) -> float:
        """Records that a request over the limit is refused.

        Returns the seconds after which its caller should return.
        """
        account = self._accounts[workspace.name]
        wait_s = account.refuse(now)
        self._report(workspace.name, account)
        return wait_s

    def take(self, workspace: Workspace, now: float) -> None:
        """Records that this gateway sends a request of a workspace."""
        account = self._accounts.get(workspace.name)
        if account is not None:
            account.take(now)
            self._report(workspace.name, account)

    def put_back(self, workspace: Workspace, now: float) -> None:
        """Records that a request that was taken has not run."""
        account = self._accounts.get(workspace.name)
        if account is not None and account.returned < account.taken:
            account.put_back(now)
            self._report(workspace.name, account)

    def note_peer(
        self,
        peer: str,
        age_s: float,
        counters: Mapping[str, RequestCounters],
        now: float,
    ) -> None:
        """Records the counters of another gateway's process that is ``age_s`` old."""
        is_older = now - age_s < self.started_at
        for name, counts in counters.items():
            account = self._accounts.get(name)
            if account is not None:
                is_known = is_older and name not in self._added
                account.note_peer(peer, counts, is_known, now)

    def _report(self, name: str, account: SharedRate) -> None:
        # Replaced, not changed: states that were reported are compared with later ones.
        counts = RequestCounters(account.taken, account.returned, account.refused)
        self.counters = {**self.counters, name: counts}
