"""The results of a policy bench."""

from typing import Any

import attrs

from ._measures import Measures, gap_quantile, quantile

TIME_DIGITS = 4


@attrs.frozen
class PolicyResult:
    """The measurements of one policy; times in seconds.

    ``idle_share`` is the batch throughput as a share of the offline bound.
    ``lost_tokens`` counts tokens that were prefilled again after batch streams were
    preempted, and ``take_backs`` counts these preemptions.
    """

    ttft_p50_s: float
    ttft_p95_s: float
    ttft_p99_s: float
    itl_p50_s: float
    itl_p95_s: float
    itl_p99_s: float
    batch_tokens_per_s: float
    idle_share: float
    give_back_p95_s: float
    cross_region_bytes: int
    lost_tokens: int
    take_backs: int
    online_requests: int
    online_shed: int


@attrs.frozen
class PolicyBenchResult:
    """The results of all policies on one trace.

    ``bound_tokens_per_s`` is the offline bound. ``fixed_limit`` is the limit of the
    best fixed limit, or 0 if the baselines did not run.
    """

    deployment: str
    seed: int
    load_fraction: float
    duration_s: float
    bound_tokens_per_s: float
    fixed_limit: int
    policies: dict[str, PolicyResult]
    measures: dict[str, Measures] = attrs.field(repr=False)

    def as_json(self) -> dict[str, Any]:
        """Returns the fields that the command prints as JSON, without the samples."""
        fields = attrs.asdict(self, filter=attrs.filters.exclude("measures"))
        for policy in fields["policies"].values():
            for name, value in policy.items():
                if isinstance(value, float):
                    policy[name] = round(value, TIME_DIGITS)
        return fields


def summarise(measures: Measures, duration_s: float, bound: float) -> PolicyResult:
    """Computes a policy's result from its samples."""
    waits = [wait_s for _, wait_s in measures.first_tokens_s]
    rate = measures.batch_tokens / duration_s
    return PolicyResult(
        ttft_p50_s=quantile(waits, 0.50),
        ttft_p95_s=quantile(waits, 0.95),
        ttft_p99_s=quantile(waits, 0.99),
        itl_p50_s=gap_quantile(measures.gaps, 0.50),
        itl_p95_s=gap_quantile(measures.gaps, 0.95),
        itl_p99_s=gap_quantile(measures.gaps, 0.99),
        batch_tokens_per_s=rate,
        idle_share=rate / bound if bound else 0.0,
        give_back_p95_s=quantile(measures.give_back_s, 0.95),
        cross_region_bytes=measures.cross_region_bytes,
        lost_tokens=measures.lost_tokens,
        take_backs=measures.take_backs,
        online_requests=len(waits),
        online_shed=measures.online_shed,
    )
