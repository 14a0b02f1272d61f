"""Measures how the cost of a workload grows with its size."""

import gc
import time
from collections.abc import Sequence

import attrs

from ._deep_size import deep_size
from ._workload import Workload

TRIES = 3
MICROSECONDS_PER_S = 1e6


@attrs.frozen
class Slope:
    """The cost for each unit, and the fixed cost that does not depend on the units.

    CPU time is in microseconds. ``wire_bytes`` are sent over connections or appended
    to the log. ``kept_bytes`` stay in memory.
    """

    role: str
    work: str
    unit: str
    cpu_us: float
    wire_bytes: float
    kept_bytes: float
    fixed_cpu_us: float = 0.0
    fixed_kept_bytes: float = 0.0


def measure(workload: Workload) -> Slope:
    """Runs a workload at its sizes and returns slopes fitted by least squares."""
    cpu_us: list[float] = []
    wire: list[float] = []
    retained: list[float] = []
    for size in workload.sizes:
        cpu_us.append(_cpu_us(workload, size) / workload.repeats)
        wire_bytes, kept_bytes = _sizes(workload, size)
        wire.append(wire_bytes / workload.repeats)
        retained.append(kept_bytes)
    cpu_slope, cpu_fixed = fit(workload.sizes, cpu_us)
    wire_slope, _ = fit(workload.sizes, wire)
    kept_slope, kept_fixed = fit(workload.sizes, retained)
    return Slope(
        workload.role,
        workload.work,
        workload.unit,
        cpu_slope,
        wire_slope,
        kept_slope,
        cpu_fixed,
        kept_fixed,
    )


def measure_sizes(workload: Workload) -> Slope:
    """Returns the slopes of bytes only, which are deterministic; CPU time is 0."""
    sizes = [_sizes(workload, size) for size in workload.sizes]
    wire_slope, _ = fit(workload.sizes, [s[0] / workload.repeats for s in sizes])
    kept_slope, kept_fixed = fit(workload.sizes, [s[1] for s in sizes])
    return Slope(
        workload.role,
        workload.work,
        workload.unit,
        0.0,
        wire_slope,
        kept_slope,
        0.0,
        kept_fixed,
    )


def fit(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Returns the slope and the intercept of the least-squares line."""
    count = len(sizes)
    mean_size, mean_cost = sum(sizes) / count, sum(costs) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    product = sum(
        (size - mean_size) * (cost - mean_cost)
        for size, cost in zip(sizes, costs, strict=True)
    )
    slope = product / spread
    return slope, mean_cost - slope * mean_size


def _cpu_us(workload: Workload, size: int) -> float:
    best = float("inf")
    for _ in range(TRIES):
        prepared = workload.prepare(size)
        gc.collect()
        started = time.process_time()
        workload.run(prepared)
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS_PER_S


def _sizes(workload: Workload, size: int) -> tuple[int, int]:
    outcome = workload.run(workload.prepare(size))
    return outcome.wire_bytes, deep_size(outcome.state)
