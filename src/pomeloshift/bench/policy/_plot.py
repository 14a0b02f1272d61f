"""Plots online latency and batch tokens over time."""

from pathlib import Path

from ...errors import ErrorCode, PomeloshiftError
from ._measures import Measures, quantile
from ._results import PolicyBenchResult
from ._svg import Line, Panel, draw_svg

BIN_S = 5
MAX_LATENCY_SHOWN_S = 1.4
HEADROOM = 1.1


class PlotFormatError(PomeloshiftError):
    """The plot's file name does not end in ``.svg``."""

    code = ErrorCode.INVALID_SETTINGS


def check_plot_path(path: str) -> None:
    """Raises `PlotFormatError` unless the path ends in ``.svg``."""
    if not path.endswith(".svg"):
        raise PlotFormatError(
            f"{path}: unsupported plot format; the file name must end in .svg"
        )


def write_plot(result: PolicyBenchResult, path: str) -> None:
    """Writes an SVG file with one line for each policy."""
    check_plot_path(path)
    Path(path).write_text(render_plot(result))


def render_plot(result: PolicyBenchResult) -> str:
    """Returns the plot as an SVG document."""
    duration_s = result.duration_s
    latency = [
        Line(name, _first_tokens(m, duration_s)) for name, m in result.measures.items()
    ]
    tokens = [
        Line(name, _batch_tokens(m, duration_s)) for name, m in result.measures.items()
    ]
    highest = max(value for line in tokens for _, value in line.points) * HEADROOM
    load = f"{result.deployment}, load {result.load_fraction:g}, seed {result.seed}"
    panels = [
        Panel(f"online first token p95, s ({load})", latency, MAX_LATENCY_SHOWN_S),
        Panel("batch tokens a second", tokens, float(round(max(highest, 1.0)))),
    ]
    return draw_svg(panels, duration_s)


def _first_tokens(measures: Measures, duration_s: float) -> list[tuple[float, float]]:
    bins: dict[int, list[float]] = {}
    for at, wait_s in measures.first_tokens_s:
        bins.setdefault(int(at / BIN_S), []).append(wait_s)
    count = int(duration_s / BIN_S)
    return [(n * BIN_S, quantile(bins.get(n, []), 0.95)) for n in range(count)]


def _batch_tokens(measures: Measures, duration_s: float) -> list[tuple[float, float]]:
    by_s = measures.batch_tokens_by_s
    points = []
    for first in range(0, int(duration_s), BIN_S):
        tokens = sum(by_s[second] for second in range(first, first + BIN_S))
        points.append((float(first), tokens / BIN_S))
    return points
