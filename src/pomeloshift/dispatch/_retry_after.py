"""When a refused caller should return.

The load it answers: bursts of a few seconds beyond the engines' places, of callers that
return only once or twice. Played against bursts of 0.5 to 6 s, a return as late as the
caller's patience allows lost the fewest callers: it is the likeliest to meet the calm
after the burst (tests/test_admission_load.py).
"""

from random import Random

import attrs

# Callers follow an advice of up to this part of the time they have left (the
# platform's protocol).
FOLLOWED_PART = 1 / 3
# The advice lies between these parts of that, so that callers refused together do not
# return together, and none is past it when the answer arrives.
EARLIEST_PART = 0.72
LATEST_PART = 0.97
# Bursts pass within some seconds; a patient caller need not wait longer.
LONGEST_S = 2.0
# For callers that another entry can serve at once: a round trip, spread a little.
ELSEWHERE_S = (0.05, 0.3)


@attrs.frozen
class RetryAfter:
    """Draws the seconds after which a refused caller should return."""

    _random: Random

    def after_burst(self, time_left_s: float) -> float:
        """Returns the advice for a caller that found no place.

        ``time_left_s`` is how much longer the caller waits.
        """
        longest_s = min(LONGEST_S, FOLLOWED_PART * time_left_s)
        return longest_s * self._random.uniform(EARLIEST_PART, LATEST_PART)

    def elsewhere(self) -> float:
        """Returns the advice for a caller that this entry alone cannot serve."""
        return self._random.uniform(*ELSEWHERE_S)
