"""Writes the report as one page that needs nothing else."""

from html import escape
from importlib import resources

from ._compute import FAST_BURN, SLOW_BURN
from ._indicator import SpendCause
from ._render_text import describe_alert, describe_objective, describe_spent
from ._report import BurnReport, BurnSeries, ObjectiveBurn
from ._svg import CLASS_BY_CAUSE, draw_budget, draw_burn, draw_causes

LIMITS = {"slow alert": SLOW_BURN, "fast alert": FAST_BURN}
LEGEND_SIZE = 10


def render_html(report: BurnReport, generated: str) -> str:
    """Returns the page; ``generated`` says when the report was made."""
    page = (resources.files(__package__ or "") / "burn.html").read_text("utf-8")
    lacking = ""
    if report.unreachable:
        names = ", ".join(report.unreachable)
        lacking = f" Entries that did not answer: {escape(names)}."
    return page.format(
        deployment=escape(report.deployment),
        generated=escape(generated),
        history=_span(report.history_s),
        unreachable=lacking,
        services=_services(report) or "<p>No requests were counted yet.</p>",
        rows="\n".join(_row(item) for item in report.objectives if item.workspace),
    )


def _services(report: BurnReport) -> str:
    series = {(s.service, s.priority, s.indicator): s for s in report.series}
    parts: list[str] = []
    shown = ""
    for item in report.objectives:
        if item.workspace:
            continue
        if item.service != shown:
            parts.append("</div>" if shown else "")
            parts.append(f"<h2>{escape(item.service)}</h2>")
            parts.append('<div class="grid-of-cards">')
            shown = item.service
        found = series.get((item.service, item.priority, item.indicator))
        parts.append(_card(item, found))
    return "\n".join([*parts, f"</div>{_legend()}" if shown else ""])


def _card(item: ObjectiveBurn, series: BurnSeries | None) -> str:
    alert = describe_alert(item)
    kind = {"FAST": "fast", "slow": "slow"}.get(alert, "none")
    text = {"FAST": "fast alert", "slow": "slow alert"}.get(alert, "no alert")
    facts = [("Budget left", f"{item.budget_left:.0%}")]
    facts += [(f"Burn {w.window}", f"{w.burn:.2f}") for w in item.windows]
    percentiles = (("p50", item.p50_s), ("p95", item.p95_s), ("p99", item.p99_s))
    facts += [(name, _time(value)) for name, value in percentiles if value is not None]
    cells = "".join(f"<div><span>{n}</span>{v}</div>" for n, v in facts)
    plot = draw_burn(series.points, LIMITS) if series else ""
    return (
        f'<section class="card"><div class="head"><h3>'
        f"{escape(describe_objective(item))}, {item.priority}</h3>"
        f'<span class="alert {kind}">{text}</span></div>'
        f'<div class="facts">{cells}</div>{plot}'
        f"{draw_causes(item.spent, 560)}</section>"
    )


def _row(item: ObjectiveBurn) -> str:
    burns = "".join(f'<td class="number">{w.burn:.2f}</td>' for w in item.windows)
    return (
        f"<tr><td>{escape(item.service)}</td><td>{escape(item.workspace)}</td>"
        f"<td>{item.priority}</td><td>{escape(describe_objective(item))}</td>"
        f"<td>{draw_budget(item.budget_left)}</td>{burns}"
        f"<td>{describe_alert(item)}</td><td>{escape(describe_spent(item))}</td></tr>"
    )


def _legend() -> str:
    parts = []
    for cause in SpendCause:
        swatch = (
            f'<svg width="{LEGEND_SIZE}" height="{LEGEND_SIZE}" aria-hidden="true">'
            f'<rect class="{CLASS_BY_CAUSE[cause]}" width="{LEGEND_SIZE}" '
            f'height="{LEGEND_SIZE}"/></svg>'
        )
        parts.append(f"<span>{swatch}{cause.value.replace('_', ' ')}</span>")
    return f'<div class="legend">Missed by: {"".join(parts)}</div>'


def _time(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms" if seconds < 1 else f"{seconds:.2f} s"


def _span(seconds: float) -> str:
    if seconds < 3600:
        return f"{seconds / 60:.0f} minutes"
    return f"{seconds / 3600:.1f} hours"
