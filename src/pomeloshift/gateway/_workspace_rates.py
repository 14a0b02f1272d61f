"""Keeps the rate limits of workspaces."""

import math
from collections import Counter
from typing import Any

import attrs

from ..dispatch import RateReport, ServingConfig, Workspace
from ..http1 import Exchange
from ..platform import CallerRequest, PlatformSettings
from ..workspaces import RateDecision, Rates, RateSettings
from ._events import EventLog
from ._members import Members
from ._peer_directory import PeerDirectory
from ._peer_exchange import PeerExchange
from ._refusal import refuse
from ._timing import RATE_HEARD_S, RATE_LONG_PAUSE_S, RATE_PAUSE_S, RATE_SHARE_S


class WorkspaceRates:
    """Refuses requests that are over their workspace's limit.

    Its accounts are charged with the requests that other gateways report. Gateways that
    are not heard are left their share of the limits. ``refusals`` counts the requests
    that it refused, by workspace. Until the addresses of all
    gateways have been read, the share of this one is not known.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        peers: PeerExchange,
        directory: PeerDirectory,
        members: Members,
        events: EventLog,
        clock: Any,
    ) -> None:
        rate_settings = RateSettings(
            settings.rate_window_s,
            settings.rate_overrun,
            settings.rate_slack,
            settings.is_first_start,
        )
        self.rates = Rates(rate_settings, clock.monotonic())
        self.refusals: Counter[str] = Counter()
        self._peers = peers
        self._directory = directory
        self._events = events
        self._clock = clock
        self._heard = self._registered = 0
        self._share_at = -math.inf
        self._reported_at = -math.inf
        peers.on_rates = self._note_peer
        members.report_rates = self._report

    def apply_config(self, config: ServingConfig) -> None:
        """Applies the limits of a configuration."""
        self.rates.apply(config.workspaces, self._clock.monotonic())

    def admits(
        self, exchange: Exchange, req: CallerRequest, workspace: Workspace | None
    ) -> bool:
        """Returns whether a request is within its limit, or refuses it with 429."""
        if workspace is None or workspace.rate_per_s <= 0:
            return True
        now = self._clock.monotonic()
        decision = self.check(workspace, now)
        if not decision.is_allowed:
            self._refuse(exchange, req, workspace, decision, now)
        return decision.is_allowed

    def check(self, workspace: Workspace, now: float) -> RateDecision:
        """Returns whether a request of a workspace is within its limit."""
        self._update_share(now)
        return self.rates.check(workspace, now)

    def allowance(self, workspace: Workspace | None) -> "Allowance":
        """Returns what a request of a workspace may take from its limit."""
        return Allowance(self, workspace)

    def take(self, workspace: Workspace) -> None:
        """Charges a request that is about to be sent to its workspace."""
        self.rates.take(workspace, self._clock.monotonic())

    def put_back(self, workspace: Workspace) -> None:
        """Credits a request that was charged and has not run."""
        self.rates.put_back(workspace, self._clock.monotonic())

    def balances(self) -> dict[str, float]:
        """Returns how many requests each workspace with a limit may send now."""
        now = self._clock.monotonic()
        self._update_share(now)
        return self.rates.balances(now)

    def _update_share(self, now: float) -> None:
        if now - self._share_at < RATE_SHARE_S or not self._directory.is_synced:
            return
        pause_s, self._share_at = now - self._share_at, now
        if RATE_PAUSE_S < pause_s < RATE_LONG_PAUSE_S:
            return
        self._heard, self._registered = self._peers.count_heard(RATE_HEARD_S)
        share = self._heard / self._registered
        self.rates.set_share(share, now, now - RATE_HEARD_S)

    def _note_peer(self, name: str, report: RateReport) -> None:
        now = self._reported_at = self._clock.monotonic()
        self.rates.note_peer(name, now - report.started_at, report.counters, now)

    def _report(self) -> RateReport | None:
        # Called for each heartbeat: a balance also accrues where nothing is requested.
        self._update_share(self._clock.monotonic())
        counters = self.rates.counters
        return RateReport(self.rates.started_at, counters) if counters else None

    def _refuse(
        self,
        exchange: Exchange,
        req: CallerRequest,
        workspace: Workspace,
        decision: RateDecision,
        now: float,
    ) -> None:
        self.refusals[workspace.name] += 1
        return_after_s = self.rates.refuse(workspace, now)
        self._events.info(
            "rate_limited",
            id=req.id,
            workspace=workspace.name,
            balance=decision.balance,
            rate=decision.rate,
            share=decision.share,
            retry_after_s=return_after_s,
            report_age_s=now - self._reported_at,
            heard=self._heard,
            registered=self._registered,
        )
        # Rounded up: a caller that returns a moment early would be refused again.
        refuse(exchange, 429, math.ceil(return_after_s * 1000) / 1000)


@attrs.define
class Allowance:
    """What one request takes from its workspace's limit.

    It is charged once, when the request is first sent to an engine.
    """

    rates: WorkspaceRates
    workspace: Workspace | None
    _is_taken: bool = False

    def take(self, exchange: Exchange, req: CallerRequest) -> bool:
        """Charges a request that is about to be sent, or refuses it with 429.

        The limit may have been reached while the request waited.
        """
        if self.workspace is None or self._is_taken:
            return True
        if not self.rates.admits(exchange, req, self.workspace):
            return False
        self.rates.take(self.workspace)
        self._is_taken = True
        return True

    def put_back(self) -> None:
        """Credits a request that has not run and will not."""
        if self.workspace is not None and self._is_taken:
            self._is_taken = False
            self.rates.put_back(self.workspace)
