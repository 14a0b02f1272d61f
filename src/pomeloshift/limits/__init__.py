"""Limits of an entry: workspace limits, fair queueing, concurrency and retries.

They do no I/O: the caller passes in what happened and the time, in monotonic seconds.
"""

from ._adaptive_limit import AdaptiveLimit
from ._errors import DeadlineExceededError, OverloadedError, RateLimitedError
from ._limiter import Admit, LimitEffect, Limiter, Outcome, Shed
from ._reported_counts import ReportedCounts
from ._retry_budget import RetryBudget
from ._token_bucket import TokenBucket

__all__ = [
    "AdaptiveLimit",
    "Admit",
    "DeadlineExceededError",
    "LimitEffect",
    "Limiter",
    "Outcome",
    "OverloadedError",
    "RateLimitedError",
    "ReportedCounts",
    "RetryBudget",
    "Shed",
    "TokenBucket",
]
