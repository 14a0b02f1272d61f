"""The trace of requests of a routing bench."""

from collections.abc import Iterator
from random import Random

import attrs

PREFIXES = 24
PREFIX_TOKENS = 600
MIN_OWN_TOKENS = 50
MAX_OWN_TOKENS = 2000
PARETO_SHAPE = 1.6
MEAN_OUTPUT_TOKENS = 100
BURST_FACTOR = 2.0
BURST_INTERVAL_S = 12.0
BURST_S = 3.0


@attrs.frozen
class Arrival:
    """One request; ``entry`` is the number of the entry that it arrives at."""

    number: int
    at: float
    entry: int
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int

    @property
    def tokens(self) -> int:
        """The tokens of the prompt and the output."""
        return self.prompt_tokens + self.output_tokens


def make_trace(
    rng: Random, rates_per_s: list[float], seconds: float
) -> Iterator[Arrival]:
    """Yields arrivals by time; ``rates_per_s`` holds the mean rate of each entry.

    Arrivals are Poisson, twice as frequent in bursts of three seconds. The popularity
    of prefixes is inversely proportional to their rank. Prompt lengths have a heavy
    tail.
    """
    total = sum(rates_per_s)
    peak = total * BURST_FACTOR
    weights = [1 / (rank + 1) for rank in range(PREFIXES)]
    base = _base_share()
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(peak)
        if now > seconds:
            return
        in_burst = now % BURST_INTERVAL_S < BURST_S
        if not in_burst and rng.random() > base / BURST_FACTOR:
            continue
        entry = rng.choices(range(len(rates_per_s)), rates_per_s)[0]
        prefix = rng.choices(range(PREFIXES), weights)[0]
        own = min(MAX_OWN_TOKENS, int(MIN_OWN_TOKENS * rng.paretovariate(PARETO_SHAPE)))
        output = max(1, int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS)))
        yield Arrival(
            number,
            now,
            entry,
            f"prefix-{prefix}",
            PREFIX_TOKENS,
            PREFIX_TOKENS + own,
            output,
        )
        number += 1


def _base_share() -> float:
    """Returns the rate outside bursts as a share of the mean rate.

    With this rate, the bursts leave the mean rate unchanged.
    """
    burst = BURST_S / BURST_INTERVAL_S
    return (1 - BURST_FACTOR * burst) / (1 - burst)
