"""Limits of workspaces, fair queueing and the retry budget."""

from ._adaptive_limit import AdaptiveLimit
from ._errors import DeadlinePassedError, OverloadedError, RateLimitedError
from ._limiter import Admit, LimitEffect, Limiter, Outcome, Shed
from ._retry_budget import RetryBudget
from ._token_bucket import TokenBucket

__all__ = [
    "AdaptiveLimit",
    "Admit",
    "DeadlinePassedError",
    "LimitEffect",
    "Limiter",
    "Outcome",
    "OverloadedError",
    "RateLimitedError",
    "RetryBudget",
    "Shed",
    "TokenBucket",
]
