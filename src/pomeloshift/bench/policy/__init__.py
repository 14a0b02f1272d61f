"""Compares admission with its baselines under load, in virtual time."""

from ._bench import find_load_rate, run_policy_bench
from ._bound import offline_bound
from ._command import run_command
from ._deployment import (
    DEPLOYMENTS,
    BenchDeployment,
    UnknownDeploymentError,
    bench_deployment,
)
from ._online_use import OnlineUse
from ._plot import PlotFormatError, render_plot
from ._results import PolicyBenchResult, PolicyResult

__all__ = [
    "DEPLOYMENTS",
    "BenchDeployment",
    "OnlineUse",
    "PlotFormatError",
    "PolicyBenchResult",
    "PolicyResult",
    "UnknownDeploymentError",
    "bench_deployment",
    "find_load_rate",
    "offline_bound",
    "render_plot",
    "run_command",
    "run_policy_bench",
]
