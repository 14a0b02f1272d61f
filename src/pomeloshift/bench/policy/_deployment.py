"""The deployments that the bench runs, with the shapes of their traffic."""

import attrs

from ...errors import ErrorCode, PomeloshiftError
from ...model import Place
from ...standins.engine import EngineSettings


class UnknownDeploymentError(PomeloshiftError):
    """The bench has no deployment of that name."""

    code = ErrorCode.INVALID_SETTINGS


@attrs.frozen
class Lengths:
    """A log-normal length in tokens, given by its median and its spread."""

    median: float
    sigma: float
    longest: int


@attrs.frozen
class Application:
    """One source of online requests; ``shared_prefix`` tokens begin all prompts."""

    name: str
    share: float
    shared_prefix: int
    prompt: Lengths
    output: Lengths


@attrs.frozen
class BatchShape:
    """The items of the batch backlog."""

    shared_prefix: int = 128
    prompt: Lengths = Lengths(200, 0.6, 1500)
    output: Lengths = Lengths(260, 0.5, 800)


@attrs.frozen
class BenchDeployment:
    """Places with their engines, and what their callers send.

    ``engines`` names one place for each engine. ``load_rate`` is a mean arrival rate,
    in requests a second, about 5% below the highest that `find_load_rate` finds to
    meet the online targets on the fleet of speed 1 without batch work. Latencies are
    one-way, in seconds.
    """

    name: str
    engines: tuple[Place, ...]
    applications: tuple[Application, ...]
    load_rate: float
    batch_weight: float
    batch: BatchShape = BatchShape()
    engine: EngineSettings = EngineSettings()
    caller_latency_s: float = 0.001
    zone_latency_s: float = 0.0015
    region_latency_s: float = 0.020
    first_token_target_s: float = 0.7
    between_tokens_target_s: float = 0.04


VEZI = BenchDeployment(
    name="vezi",
    engines=(
        Place("gorenjska", "kranj-a"),
        Place("gorenjska", "kranj-a"),
        Place("gorenjska", "kranj-b"),
        Place("gorenjska", "kranj-b"),
        Place("stajerska", "maribor-a"),
    ),
    applications=(
        Application(
            "stitch-settings", 0.6, 256, Lengths(120, 0.8, 4000), Lengths(70, 0.5, 300)
        ),
        Application(
            "order-desk", 0.3, 256, Lengths(300, 0.9, 6000), Lengths(120, 0.6, 500)
        ),
        Application(
            "shift-foremen", 0.1, 128, Lengths(900, 0.8, 8000), Lengths(200, 0.5, 600)
        ),
    ),
    load_rate=45.0,
    batch_weight=0.8,
)
KALIVATI = BenchDeployment(
    name="kalivati",
    engines=(
        Place("viti-levu", "suva-a"),
        Place("viti-levu", "suva-a"),
        Place("viti-levu", "lautoka-a"),
        Place("viti-levu", "lautoka-a"),
        Place("vanua-levu", "labasa-a"),
        Place("vanua-levu", "labasa-a"),
    ),
    applications=(
        Application(
            "guest-messages", 0.6, 384, Lengths(80, 0.8, 3000), Lengths(110, 0.5, 400)
        ),
        Application(
            "hive-visits", 0.3, 256, Lengths(250, 0.9, 6000), Lengths(150, 0.6, 500)
        ),
        Application(
            "harvest-advice", 0.1, 128, Lengths(800, 0.8, 8000), Lengths(220, 0.5, 600)
        ),
    ),
    load_rate=48.0,
    batch_weight=0.2,
    zone_latency_s=0.0005,
)
DEPLOYMENTS = {d.name: d for d in (VEZI, KALIVATI)}


def bench_deployment(name: str) -> BenchDeployment:
    """Returns the deployment of that name or raises `UnknownDeploymentError`."""
    if name not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise UnknownDeploymentError(f"deployment {name!r} is none of {known}")
    return DEPLOYMENTS[name]
