"""Decides after which time a refused caller should retry.

Designed for bursts of a few seconds that exceed the engines' slots, with callers that
retry only once or twice. In simulations of bursts of 0.5 to 6 s, a retry as late as
the caller's deadline allows lost the fewest callers, as it is the likeliest to come
after the burst (tests/test_admission_load.py).
"""

from random import Random

import attrs

# Callers follow a retry-after time of up to this share of the time they have left
# (the platform's protocol).
FOLLOWED_SHARE = 1 / 3
# Shares of that maximum between which the retry-after time is drawn. Callers refused
# together thus retry at different times, and the time is still within the maximum
# when the response arrives.
MIN_SHARE = 0.72
MAX_SHARE = 0.97
# Longest retry-after time: bursts last a few seconds, so more does not help.
MAX_RETRY_AFTER_S = 2.0
# Range of the retry-after time of callers that another entry can serve at once: about
# a round trip, with jitter.
ELSEWHERE_RANGE_S = (0.05, 0.3)


@attrs.frozen
class RetryAfter:
    """Draws the seconds after which a refused caller should retry."""

    _random: Random

    def after_burst(self, time_left_s: float) -> float:
        """Returns the seconds to wait for a caller that was refused for overload.

        ``time_left_s`` is the time until the caller's deadline.
        """
        max_s = min(MAX_RETRY_AFTER_S, FOLLOWED_SHARE * time_left_s)
        return max_s * self._random.uniform(MIN_SHARE, MAX_SHARE)

    def elsewhere(self) -> float:
        """Returns the seconds to wait for a caller that another entry can serve."""
        return self._random.uniform(*ELSEWHERE_RANGE_S)
