"""Draws line charts as SVG."""

from collections.abc import Sequence
from xml.sax.saxutils import escape

import attrs

WIDTH = 960
PANEL_HEIGHT = 260
MARGIN_LEFT = 70
MARGIN_RIGHT = 160
MARGIN_TOP = 30
MARGIN_BOTTOM = 30
GRID_LINES = 4
COLOURS = ("#4477aa", "#cc3311", "#ee9922", "#228833", "#aa3377")


@attrs.frozen
class Line:
    """One named series of points."""

    name: str
    points: Sequence[tuple[float, float]]


@attrs.frozen
class Panel:
    """One chart; values above ``y_max`` are drawn at its upper edge."""

    title: str
    lines: Sequence[Line]
    y_max: float


def draw_svg(panels: Sequence[Panel], x_max: float) -> str:
    """Returns an SVG document with the panels stacked vertically.

    ``x_max`` is the right end of the shared x axis, in seconds.
    """
    height = PANEL_HEIGHT * len(panels)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for number, panel in enumerate(panels):
        parts.append(f'<g transform="translate(0,{number * PANEL_HEIGHT})">')
        parts += _draw_panel(panel, x_max)
        parts.append("</g>")
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _draw_panel(panel: Panel, x_max: float) -> list[str]:
    parts = [f'<text x="{MARGIN_LEFT}" y="18">{escape(panel.title)}</text>']
    for step in range(GRID_LINES + 1):
        value = panel.y_max * step / GRID_LINES
        y = _y(value, panel.y_max)
        parts.append(
            f'<line x1="{MARGIN_LEFT}" x2="{WIDTH - MARGIN_RIGHT}" y1="{y:.1f}" '
            f'y2="{y:.1f}" stroke="#dddddd"/>'
        )
        parts.append(
            f'<text x="{MARGIN_LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">'
            f"{value:g}</text>"
        )
    for number, line in enumerate(panel.lines):
        parts += _draw_line(line, number, panel.y_max, x_max)
    return parts


def _draw_line(line: Line, number: int, y_max: float, x_max: float) -> list[str]:
    colour = COLOURS[number % len(COLOURS)]
    points = " ".join(
        f"{_x(at, x_max):.1f},{_y(value, y_max):.1f}" for at, value in line.points
    )
    label_y = MARGIN_TOP + 16 * (number + 1)
    return [
        f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" '
        f'points="{points}"/>',
        f'<text x="{WIDTH - MARGIN_RIGHT + 10}" y="{label_y}" fill="{colour}">'
        f"{escape(line.name)}</text>",
    ]


def _x(at: float, x_max: float) -> float:
    return MARGIN_LEFT + (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * at / x_max


def _y(value: float, y_max: float) -> float:
    share = min(1.0, value / y_max) if y_max else 0.0
    span = PANEL_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM
    return PANEL_HEIGHT - MARGIN_BOTTOM - span * share
