"""Renders the report as text for a terminal."""

from ._report import BurnReport, ObjectiveBurn

HEADING = (
    "service",
    "workspace",
    "class",
    "objective",
    "budget left",
    "5m",
    "1h",
    "6h",
    "3d",
    "alert",
    "spent by",
)


def render_text(report: BurnReport) -> str:
    """Returns the report as a table with one line per objective."""
    rows = [HEADING, *(_row(item) for item in report.objectives)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADING))]
    lines = [
        f"deployment {report.deployment}, history of {_format_span(report.history_s)}",
        "",
    ]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    if not report.objectives:
        lines.append("no requests were counted yet")
    if report.unreachable:
        lines.append(f"entries that did not respond: {', '.join(report.unreachable)}")
    return "\n".join(lines)


def describe_objective(item: ObjectiveBurn) -> str:
    """Returns an objective in words, such as ``95% first token within 0.7 s``."""
    percent = f"{item.objective * 100:g}%"
    name = item.indicator.value.replace("_", " ")
    if item.target_s is None:
        return f"{percent} {name}"
    if item.target_s < 0.1:
        return f"{percent} {name} within {item.target_s * 1000:g} ms"
    return f"{percent} {name} within {item.target_s:g} s"


def describe_alert(item: ObjectiveBurn) -> str:
    """Returns ``FAST``, ``slow`` or, if no alert fires, ``-``."""
    if item.fast_alert:
        return "FAST"
    return "slow" if item.slow_alert else "-"


def describe_causes(item: ObjectiveBurn) -> str:
    """Returns the causes of missed requests with their shares."""
    total = sum(share.requests for share in item.spent)
    shares = sorted(item.spent, key=lambda share: -share.requests)
    parts = (
        f"{share.cause.value.replace('_', ' ')} {share.requests / total:.0%}"
        for share in shares
    )
    return ", ".join(parts) or "-"


def _row(item: ObjectiveBurn) -> tuple[str, ...]:
    return (
        item.service,
        item.workspace or "(all)",
        item.priority,
        describe_objective(item),
        f"{item.budget_left:.0%}",
        *(f"{window.burn:.2f}" for window in item.windows),
        describe_alert(item),
        describe_causes(item),
    )


def _format_span(seconds: float) -> str:
    if seconds < 3600:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"
