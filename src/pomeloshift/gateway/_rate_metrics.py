"""The metrics of workspaces with a rate limit."""

from collections import Counter
from typing import Any

from ..metrics import Metrics

# Largest number of workspaces with metrics of their own. The others count as `OTHER`,
# which has no balance.
MAX_WORKSPACES = 300
OTHER = "other"


def collect_rates(metrics: Metrics, rates: Any) -> None:
    """Sets the metrics from the `WorkspaceRates` of a gateway."""
    balances = rates.balances()
    metrics.set("gateway_rate_share", rates.rates.share)
    named = set(list(balances)[:MAX_WORKSPACES])
    totals: Counter[tuple[str, str]] = Counter()
    for name, counts in rates.rates.counters.items():
        label = name if name in named else OTHER
        totals[label, "taken"] += counts.taken
        totals[label, "returned"] += counts.returned
    for name, refused in rates.refusals.items():
        totals[name if name in named else OTHER, "refused"] += refused
    for (label, outcome), total in totals.items():
        metrics.advance(
            "gateway_workspace_requests_total", total, workspace=label, outcome=outcome
        )
    for name in named:
        metrics.set("gateway_workspace_balance", balances[name], workspace=name)
