"""Draws the plots of the report as SVG."""

from collections.abc import Sequence
from html import escape

from ._indicator import SpendCause
from ._report import BurnPoint, CauseShare

WIDTH = 560
HEIGHT = 150
LEFT = 38
RIGHT = 10
TOP = 10
BOTTOM = 24
BAR_HEIGHT = 14
MIN_SCALE = 2.0
GRID_STEPS = (0.5, 1, 2, 5, 10, 20, 50)
MAX_GRID_LINES = 5

CSS_CLASS_BY_CAUSE = {
    SpendCause.BATCH_HARM: "c1",
    SpendCause.OVERLOAD: "c2",
    SpendCause.BACKEND_FAULT: "c3",
    SpendCause.CROSS_REGION: "c4",
    SpendCause.OTHER: "c5",
}


def draw_burn(points: Sequence[BurnPoint], thresholds: dict[str, float]) -> str:
    """Returns a plot of burn rates over time, with a line for each named threshold.

    Spans without requests leave a gap in the line.
    """
    scale = max([MIN_SCALE, *(p.burn for p in points), *thresholds.values()]) * 1.08
    parts = [_grid(scale), _time_axis(points)]
    for name, threshold in thresholds.items():
        y = _y(threshold, scale)
        parts.append(
            f'<line class="limit" x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}"/>'
            f'<text class="limit-name" x="{WIDTH - RIGHT}" y="{y - 3}" '
            f'text-anchor="end">{escape(name)}</text>'
        )
    for run in _runs(points):
        parts.append(_line(run, len(points), scale))
    return _svg(WIDTH, HEIGHT, "".join(parts), "burn rate over time")


def draw_budget(left: float) -> str:
    """Returns a bar that shows the share ``left`` of a budget."""
    shown = min(1.0, max(0.0, left))
    kind = "good" if left > 0.5 else "warn" if left > 0 else "bad"
    body = (
        f'<rect class="track" width="160" height="{BAR_HEIGHT}" rx="3"/>'
        f'<rect class="{kind}" width="{160 * shown:.1f}" height="{BAR_HEIGHT}" rx="3"/>'
    )
    return _svg(160, BAR_HEIGHT, body, f"{left:.0%} of the budget left")


def draw_causes(shares: Sequence[CauseShare], width: int = 300) -> str:
    """Returns one bar divided by the causes of missed requests."""
    total = sum(share.requests for share in shares)
    if not total:
        return ""
    parts = []
    x = 0.0
    for share in shares:
        length = width * share.requests / total
        name = share.cause.value.replace("_", " ")
        parts.append(
            f'<rect class="{CSS_CLASS_BY_CAUSE[share.cause]}" x="{x:.1f}" '
            f'width="{max(length - 1, 0.5):.1f}" height="{BAR_HEIGHT}">'
            f"<title>{name}: {share.requests}</title></rect>"
        )
        x += length
    return _svg(width, BAR_HEIGHT, "".join(parts), "causes of missed requests")


def _svg(width: int, height: int, body: str, label: str) -> str:
    return (
        f'<svg viewBox="0 0 {width} {height}" width="{width}" height="{height}" '
        f'role="img" aria-label="{escape(label)}">{body}</svg>'
    )


def _grid(scale: float) -> str:
    steps = (s for s in GRID_STEPS if scale / s <= MAX_GRID_LINES)
    step = next(steps, scale / MAX_GRID_LINES)
    parts = []
    value = 0.0
    while value <= scale:
        y = _y(value, scale)
        parts.append(
            f'<line class="grid" x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}"/>'
            f'<text class="tick" x="{LEFT - 6}" y="{y + 3}" text-anchor="end">'
            f"{value:g}</text>"
        )
        value += step
    return "".join(parts)


def _time_axis(points: Sequence[BurnPoint]) -> str:
    parts = []
    every = max(1, len(points) // 6)
    for position, point in enumerate(points):
        if position % every == 0:
            minutes = point.start // 60
            text = f"{minutes // 60 % 24:02d}:{minutes % 60:02d}"
            x = _x(position, len(points))
            parts.append(
                f'<text class="tick" x="{x}" y="{HEIGHT - 6}" '
                f'text-anchor="middle">{text}</text>'
            )
    return "".join(parts)


def _runs(points: Sequence[BurnPoint]) -> list[list[tuple[int, BurnPoint]]]:
    runs: list[list[tuple[int, BurnPoint]]] = [[]]
    for position, point in enumerate(points):
        if point.requests:
            runs[-1].append((position, point))
        elif runs[-1]:
            runs.append([])
    return [run for run in runs if run]


def _line(run: list[tuple[int, BurnPoint]], count: int, scale: float) -> str:
    dots = [(_x(position, count), _y(point.burn, scale)) for position, point in run]
    path = " ".join(f"{x},{y}" for x, y in dots)
    marks = "".join(
        f'<circle class="dot" cx="{x}" cy="{y}" r="3"><title>burn {point.burn:g}, '
        f"{point.requests} requests</title></circle>"
        for (x, y), (_, point) in zip(dots, run, strict=True)
    )
    return f'<polyline class="line" points="{path}"/>{marks}'


def _x(position: int, count: int) -> float:
    share = position / max(1, count - 1)
    return round(LEFT + 8 + share * (WIDTH - LEFT - RIGHT - 16), 1)


def _y(value: float, scale: float) -> float:
    share = value / scale
    return round(HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM), 1)
