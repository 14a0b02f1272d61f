"""Runs admission and its baselines on one trace."""

import math
from bisect import bisect_left
from collections.abc import Callable
from random import Random

import attrs

from ...admission import Admission, AdmissionConfig
from ._baselines import UNBOUNDED_BATCH_STREAMS, FixedLimit
from ._bound import offline_bound
from ._deployment import BenchDeployment, bench_deployment
from ._measures import Measures, gap_quantile, quantile
from ._results import PolicyBenchResult, summarise
from ._server import Policy
from ._simulation import RunResult, Simulation
from ._trace import Trace, draw_batch_item, draw_trace

NO_BATCH = "no_batch"
NO_CONTROL = "no_control"
BEST_FIXED_LIMIT = "best_fixed_limit"
OURS = "ours"
FIXED_LIMITS = (8, 16, 24, 32, 40, 48, 56, 64, 80)
SWEEP_S = 150.0
SAMPLED_ITEMS = 2000


def run_policy_bench(
    deployment: str,
    seed: int = 1,
    load_fraction: float = 0.6,
    duration_s: float = 600.0,
    speeds: tuple[float, ...] = (1.0,),
    report_lag_s: float = 0.5,
    batch_weight: float | None = None,
    with_baselines: bool = True,
) -> PolicyBenchResult:
    """Runs all policies and returns their results.

    ``load_fraction`` is the online load as a share of the deployment's ``load_rate``
    times the mean of the engines' speeds. At speed 1 the fleet serves ``load_rate``
    within its targets. Engines get ``speeds`` in turn. Load reports reach the router
    after ``report_lag_s`` seconds. ``batch_weight`` replaces the deployment's own.
    Without baselines, only ``no_batch`` and ``ours`` run.

    >>> result = run_policy_bench("vezi", duration_s=60.0)
    >>> result.policies["ours"].itl_p95_s <= 0.04
    True
    """
    bench = _Bench(bench_deployment(deployment), seed, speeds, report_lag_s)
    cfg = bench.deployment
    weight = cfg.batch_weight if batch_weight is None else batch_weight
    admission = AdmissionConfig(
        first_token_target_s=cfg.first_token_target_s,
        between_tokens_target_s=cfg.between_tokens_target_s,
        batch_weight=weight,
    )
    trace = bench.draw(load_fraction, duration_s)
    no_batch = bench.run(trace, lambda: FixedLimit(0))
    bound = bench.bound(no_batch, duration_s) / duration_s
    measures = {NO_BATCH: no_batch.measures}
    limit = 0
    if with_baselines:
        limit = best_fixed_limit(bench, load_fraction, min(duration_s, SWEEP_S))
        unbounded = UNBOUNDED_BATCH_STREAMS
        measures[NO_CONTROL] = bench.measure(trace, lambda: FixedLimit(unbounded))
        measures[BEST_FIXED_LIMIT] = bench.measure(trace, lambda: FixedLimit(limit))
    measures[OURS] = bench.measure(trace, lambda: Admission(admission))
    policies = {
        name: summarise(measured, duration_s, bound)
        for name, measured in measures.items()
    }
    return PolicyBenchResult(
        cfg.name,
        seed,
        load_fraction,
        duration_s,
        bound,
        limit,
        policies,
        measures,
    )


def best_fixed_limit(bench: "_Bench", load_fraction: float, duration_s: float) -> int:
    """Returns the largest fixed limit that meets both online targets.

    The latency impact grows with the limit, so a binary search finds it. If no limit
    meets the targets, the smallest one is returned.
    """
    trace = bench.draw(load_fraction, duration_s)

    def misses_targets(limit: int) -> bool:
        return not bench.meets_targets(bench.measure(trace, lambda: FixedLimit(limit)))

    first_miss = bisect_left(FIXED_LIMITS, True, key=misses_targets)
    return FIXED_LIMITS[max(0, first_miss - 1)]


def find_load_rate(deployment: BenchDeployment, seeds: tuple[int, ...]) -> float:
    """Returns the highest arrival rate that meets the targets without batch work.

    The rate is in requests a second. It has to meet the targets with most seeds.
    """
    low, high = 1.0, 200.0
    while high - low > 0.5:
        rate = (low + high) / 2.0
        met = 0
        for seed in seeds:
            bench = _Bench(deployment, seed, (1.0,), 0.5)
            trace = draw_trace(deployment, rate, 240.0, seed)
            met += bench.meets_targets(bench.measure(trace, lambda: FixedLimit(0)))
        low, high = (rate, high) if 2 * met > len(seeds) else (low, rate)
    return low


class _Bench:
    """Runs policies on one deployment with given engine speeds."""

    def __init__(
        self,
        deployment: BenchDeployment,
        seed: int,
        speeds: tuple[float, ...],
        report_lag_s: float,
    ) -> None:
        self.deployment = deployment
        self._seed = seed
        self._report_lag_s = report_lag_s
        count = len(deployment.engines)
        self._speeds = tuple(speeds[n % len(speeds)] for n in range(count))

    def draw(self, load_fraction: float, duration_s: float) -> Trace:
        mean_speed = sum(self._speeds) / len(self._speeds)
        rate = load_fraction * mean_speed * self.deployment.load_rate
        return draw_trace(self.deployment, rate, duration_s, self._seed)

    def run(self, trace: Trace, build: Callable[[], Policy]) -> RunResult:
        simulation = Simulation(
            self.deployment, build, self._speeds, self._report_lag_s, self._seed
        )
        return simulation.run(trace)

    def measure(self, trace: Trace, build: Callable[[], Policy]) -> Measures:
        return self.run(trace, build).measures

    def meets_targets(self, measures: Measures) -> bool:
        waits = [wait_s for _, wait_s in measures.first_tokens_s]
        first_ok = quantile(waits, 0.95) <= self.deployment.first_token_target_s
        gap_s = gap_quantile(measures.gaps, 0.95)
        return first_ok and gap_s <= self.deployment.between_tokens_target_s

    def bound(self, no_batch: RunResult, duration_s: float) -> float:
        """Returns an upper bound of the batch tokens that the fleet can produce."""
        ratio = prefill_per_token(self.deployment, self._seed)
        total = 0.0
        for use, speed in zip(no_batch.uses, self._speeds, strict=True):
            settings = attrs.evolve(self.deployment.engine, speed=speed)
            total += offline_bound(use, settings, ratio, duration_s)
        return total


def prefill_per_token(deployment: BenchDeployment, seed: int) -> float:
    """Returns the prompt tokens to prefill for each output token of batch items.

    The shared prefix is not counted.
    """
    rng = Random(seed)
    items = [draw_batch_item(deployment, n, rng) for n in range(SAMPLED_ITEMS)]
    shared = deployment.batch.shared_prefix
    prefilled = math.fsum(item.prompt_tokens - shared for item in items)
    return prefilled / math.fsum(item.output_tokens for item in items)
