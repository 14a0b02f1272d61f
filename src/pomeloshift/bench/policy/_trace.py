"""Seeded traces of online arrivals and batch items."""

import math
from collections.abc import Hashable
from random import Random

import attrs

from ...model import Place
from ...standins.engine import BLOCK_TOKENS
from ._deployment import Application, BenchDeployment, Lengths

DIURNAL_AMPLITUDE = 0.4
MEAN_BURST_GAP_S = 20.0
MIN_BURST_S = 2.0
MAX_BURST_S = 6.0
BURST_FACTOR = 3.0
MIN_TOKENS = 8


@attrs.frozen
class Arrival:
    """One online request; ``burst`` is the number of its burst, -1 outside bursts."""

    number: int
    at: float
    place: Place
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[Hashable, ...]
    burst: int = -1


@attrs.frozen
class BatchItem:
    """One item of the batch backlog."""

    number: int
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[Hashable, ...]


@attrs.frozen
class Burst:
    """A period in which one availability zone sends extra requests."""

    number: int
    place: Place
    starts_at: float
    ends_at: float


@attrs.frozen
class Trace:
    """All online arrivals of a run, ordered by time."""

    arrivals: tuple[Arrival, ...]
    bursts: tuple[Burst, ...]
    duration_s: float


def draw_trace(
    deployment: BenchDeployment, rate: float, duration_s: float, seed: int
) -> Trace:
    """Draws arrivals at a mean rate, with a diurnal cycle and bursts.

    The run compresses one day: the base rate goes through one sine period. Each burst
    adds `BURST_FACTOR` times its zone's share of the base rate. ``rate`` is in
    requests a second.
    """
    rng = Random(seed)
    places = tuple(sorted(set(deployment.engines), key=lambda p: p.availability_zone))
    weights = [deployment.engines.count(place) for place in places]
    bursts = _draw_bursts(places, weights, duration_s, rng)
    base = rate / _mean_factor(bursts, places, weights, duration_s)
    arrivals: list[Arrival] = []
    for place, weight in zip(places, weights, strict=True):
        share = base * weight / sum(weights)
        own = tuple(b for b in bursts if b.place == place)
        arrivals += _draw_place(deployment, place, share, own, duration_s, rng)
    arrivals.sort(key=lambda a: a.at)
    numbered = tuple(attrs.evolve(a, number=n) for n, a in enumerate(arrivals))
    return Trace(numbered, bursts, duration_s)


def draw_batch_item(deployment: BenchDeployment, number: int, rng: Random) -> BatchItem:
    """Draws the next item of the backlog."""
    shape = deployment.batch
    prompt = shape.shared_prefix + draw_length(shape.prompt, rng)
    output = draw_length(shape.output, rng)
    blocks = prompt_blocks("batch", shape.shared_prefix, prompt, ("item", number))
    return BatchItem(number, prompt, output, blocks)


def draw_length(lengths: Lengths, rng: Random) -> int:
    """Draws a length in tokens, at least `MIN_TOKENS`."""
    drawn = rng.lognormvariate(math.log(lengths.median), lengths.sigma)
    return max(MIN_TOKENS, min(lengths.max_tokens, round(drawn)))


def prompt_blocks(
    prefix: str, prefix_tokens: int, prompt_tokens: int, owner: Hashable
) -> tuple[Hashable, ...]:
    """Returns the prefix-cache block keys of a prompt with a shared prefix.

    Prompts share the blocks of ``prefix``; the other blocks belong to ``owner`` alone.
    """
    shared = prefix_tokens // BLOCK_TOKENS
    total = prompt_tokens // BLOCK_TOKENS
    head: list[Hashable] = [(prefix, number) for number in range(shared)]
    tail: list[Hashable] = [(owner, number) for number in range(shared, total)]
    return tuple(head + tail)


def _draw_bursts(
    places: tuple[Place, ...], weights: list[int], duration_s: float, rng: Random
) -> tuple[Burst, ...]:
    bursts: list[Burst] = []
    at = rng.expovariate(1.0 / MEAN_BURST_GAP_S)
    while at < duration_s:
        place = rng.choices(places, weights)[0]
        length_s = rng.uniform(MIN_BURST_S, MAX_BURST_S)
        bursts.append(Burst(len(bursts), place, at, min(duration_s, at + length_s)))
        at += length_s + rng.expovariate(1.0 / MEAN_BURST_GAP_S)
    return tuple(bursts)


def _mean_factor(
    bursts: tuple[Burst, ...],
    places: tuple[Place, ...],
    weights: list[int],
    duration_s: float,
) -> float:
    factor = 1.0
    for burst in bursts:
        share = weights[places.index(burst.place)] / sum(weights)
        factor += BURST_FACTOR * share * (burst.ends_at - burst.starts_at) / duration_s
    return factor


def _draw_place(
    deployment: BenchDeployment,
    place: Place,
    rate: float,
    bursts: tuple[Burst, ...],
    duration_s: float,
    rng: Random,
) -> list[Arrival]:
    highest = rate * (1.0 + DIURNAL_AMPLITUDE + BURST_FACTOR)
    arrivals: list[Arrival] = []
    at = rng.expovariate(highest)
    while at < duration_s:
        burst = next((b for b in bursts if b.starts_at <= at < b.ends_at), None)
        diurnal = DIURNAL_AMPLITUDE * math.sin(2.0 * math.pi * at / duration_s)
        base = rate * (1.0 + diurnal)
        extra = rate * BURST_FACTOR if burst else 0.0
        draw = rng.random() * highest
        if draw < base + extra:
            number = burst.number if burst and draw >= base else -1
            arrivals.append(_draw_arrival(deployment, place, at, number, rng))
        at += rng.expovariate(highest)
    return arrivals


def _draw_arrival(
    deployment: BenchDeployment, place: Place, at: float, burst: int, rng: Random
) -> Arrival:
    apps = deployment.applications
    app: Application = rng.choices(apps, [a.share for a in apps])[0]
    prompt = app.shared_prefix + draw_length(app.prompt, rng)
    output = draw_length(app.output, rng)
    owner = ("request", rng.getrandbits(48))
    blocks = prompt_blocks(app.name, app.shared_prefix, prompt, owner)
    return Arrival(0, at, place, prompt, output, blocks, burst)
