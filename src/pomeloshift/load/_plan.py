"""Draws all requests of a load run before it starts."""

from random import Random

import attrs

WORDS = ("comb", "frame", "hive", "nectar", "queen", "roof", "smoke", "swarm", "wax")
MIN_WORDS = 4
MEAN_EXTRA_WORDS = 40
MAX_WORDS = 2000
MEAN_OUTPUT_TOKENS = 64
MAX_OUTPUT_TOKENS = 512


@attrs.frozen
class PlannedRequest:
    """A request to be sent ``at`` seconds after the start.

    It does not wait for the responses to earlier requests.
    """

    at: float
    prompt: str
    max_tokens: int


def make_plan(seed: int, rate: float, seconds: float) -> list[PlannedRequest]:
    """Returns ``seconds`` of Poisson arrivals at ``rate`` requests per second.

    Equal arguments give equal plans.
    """
    rng = Random(seed)
    plan = []
    at = rng.expovariate(rate)
    while at < seconds:
        extra = int(rng.expovariate(1 / MEAN_EXTRA_WORDS))
        count = min(MAX_WORDS, MIN_WORDS + extra)
        tokens = 1 + int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS))
        prompt = " ".join(rng.choices(WORDS, k=count))
        plan.append(PlannedRequest(at, prompt, min(MAX_OUTPUT_TOKENS, tokens)))
        at += rng.expovariate(rate)
    return plan
