"""The command ``pomeloshift bench policy``."""

import sys

import msgspec

from ...errors import PomeloshiftError
from ._bench import run_policy_bench
from ._plot import check_plot_path, write_plot
from ._results import PolicyBenchResult

INVALID_INPUT_EXIT = 2
COLUMNS = (
    ("ttft p95 s", "ttft_p95_s", "{:.3f}"),
    ("ttft p99 s", "ttft_p99_s", "{:.3f}"),
    ("itl p95 ms", "itl_p95_s", "{:.1f}"),
    ("itl p99 ms", "itl_p99_s", "{:.1f}"),
    ("batch tok/s", "batch_tokens_per_s", "{:.0f}"),
    ("of bound", "idle_share", "{:.3f}"),
    ("give back s", "give_back_p95_s", "{:.3f}"),
    ("lost tok", "lost_tokens", "{:d}"),
)
MILLISECOND_FIELDS = ("itl_p95_s", "itl_p99_s")


def run_command(
    deployment: str,
    seed: int = 1,
    json: bool = False,
    plot: str | None = None,
    load: float = 0.6,
    duration_s: float = 600.0,
    speeds: tuple[float, ...] = (1.0,),
    report_lag_s: float = 0.5,
) -> int:
    """Runs the bench, prints its results and returns the exit code.

    The code is 2 if the deployment is unknown or the plot's format is unsupported.
    """
    try:
        if plot is not None:
            check_plot_path(plot)
        result = run_policy_bench(
            deployment, seed, load, duration_s, speeds, report_lag_s
        )
    except PomeloshiftError as exc:
        print(f"{exc.code.value}: {exc.message}", file=sys.stderr)
        return INVALID_INPUT_EXIT
    if plot is not None:
        write_plot(result, plot)
    if json:
        print(msgspec.json.encode(result.as_json()).decode())
    else:
        print(render_table(result))
    return 0


def render_table(result: PolicyBenchResult) -> str:
    """Returns the results as a plain-text table."""
    header = (
        f"{result.deployment}: seed {result.seed}, online load "
        f"{result.load_fraction:g}, {result.duration_s:g} s, offline bound "
        f"{result.bound_tokens_per_s:.0f} batch tokens/s, "
        f"best fixed limit {result.fixed_limit}"
    )
    titles = "  ".join(f"{title:>11}" for title, _, _ in COLUMNS)
    lines = [header, f"{'policy':<16}  {titles}"]
    for name, policy in result.policies.items():
        cells = []
        for _, field, form in COLUMNS:
            value = getattr(policy, field)
            if field in MILLISECOND_FIELDS:
                value *= 1000.0
            cells.append(f"{form.format(value):>11}")
        lines.append(f"{name:<16}  {'  '.join(cells)}")
    return "\n".join(lines)
