"""Renders the report as one self-contained HTML page."""

from html import escape
from importlib import resources

from ._compute import FAST_BURN, SLOW_BURN
from ._indicator import SpendCause
from ._render_text import describe_alert, describe_causes, describe_objective
from ._report import BurnReport, BurnSeries, ObjectiveBurn
from ._svg import CSS_CLASS_BY_CAUSE, draw_budget, draw_burn, draw_causes

THRESHOLDS = {"slow alert": SLOW_BURN, "fast alert": FAST_BURN}
LEGEND_SIZE = 10


def render_html(report: BurnReport, generated: str) -> str:
    """Returns the page; ``generated`` is text that says when the report was made."""
    page = (resources.files(__package__ or "") / "burn.html").read_text("utf-8")
    unreachable = ""
    if report.unreachable:
        names = ", ".join(report.unreachable)
        unreachable = f" Entries that did not respond: {escape(names)}."
    return page.format(
        deployment=escape(report.deployment),
        generated=escape(generated),
        history=_format_span(report.history_s),
        unreachable=unreachable,
        services=_services(report) or "<p>No requests were counted yet.</p>",
        rows="\n".join(_row(item) for item in report.objectives if item.workspace),
    )


def _services(report: BurnReport) -> str:
    series = {(s.service, s.priority, s.indicator): s for s in report.series}
    parts: list[str] = []
    open_service = ""
    for item in report.objectives:
        if item.workspace:
            continue
        if item.service != open_service:
            parts.append("</div>" if open_service else "")
            parts.append(f"<h2>{escape(item.service)}</h2>")
            parts.append('<div class="grid-of-cards">')
            open_service = item.service
        item_series = series.get((item.service, item.priority, item.indicator))
        parts.append(_card(item, item_series))
    return "\n".join([*parts, f"</div>{_legend()}" if open_service else ""])


def _card(item: ObjectiveBurn, series: BurnSeries | None) -> str:
    alert = describe_alert(item)
    kind = {"FAST": "fast", "slow": "slow"}.get(alert, "none")
    text = {"FAST": "fast alert", "slow": "slow alert"}.get(alert, "no alert")
    facts = [("Budget left", f"{item.budget_left:.0%}")]
    facts += [(f"Burn {w.window}", f"{w.burn:.2f}") for w in item.windows]
    percentiles = (("p50", item.p50_s), ("p95", item.p95_s), ("p99", item.p99_s))
    facts += [
        (name, _format_time(value)) for name, value in percentiles if value is not None
    ]
    cells = "".join(f"<div><span>{n}</span>{v}</div>" for n, v in facts)
    plot = draw_burn(series.points, THRESHOLDS) if series else ""
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
        f"<td>{describe_alert(item)}</td><td>{escape(describe_causes(item))}</td></tr>"
    )


def _legend() -> str:
    parts = []
    for cause in SpendCause:
        swatch = (
            f'<svg width="{LEGEND_SIZE}" height="{LEGEND_SIZE}" aria-hidden="true">'
            f'<rect class="{CSS_CLASS_BY_CAUSE[cause]}" width="{LEGEND_SIZE}" '
            f'height="{LEGEND_SIZE}"/></svg>'
        )
        parts.append(f"<span>{swatch}{cause.value.replace('_', ' ')}</span>")
    return f'<div class="legend">Causes of missed requests: {"".join(parts)}</div>'


def _format_time(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms" if seconds < 1 else f"{seconds:.2f} s"


def _format_span(seconds: float) -> str:
    if seconds < 3600:
        return f"{seconds / 60:.0f} minutes"
    return f"{seconds / 3600:.1f} hours"
