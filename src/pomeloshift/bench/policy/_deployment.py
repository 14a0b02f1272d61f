"""The deployments that the bench simulates, with their traffic."""

import attrs

from ...errors import ErrorCode, PomeloshiftError
from ...model import Place
from ...standins.engine import EngineSettings


class UnknownDeploymentError(PomeloshiftError):
    """No benchmark deployment has the requested name."""

    code = ErrorCode.INVALID_SETTINGS


@attrs.frozen
class Lengths:
    """A log-normal distribution of lengths in tokens, cut off at ``max_tokens``."""

    median: float
    sigma: float
    max_tokens: int


@attrs.frozen
class Application:
    """One source of online requests.

    All its prompts begin with the same ``shared_prefix`` tokens. ``share`` is its
    share of the online requests.
    """

    name: str
    share: float
    shared_prefix: int
    prompt: Lengths
    output: Lengths


@attrs.frozen
class BatchShape:
    """The lengths of the batch items, in tokens."""

    shared_prefix: int = 128
    prompt: Lengths = Lengths(200, 0.6, 1500)
    output: Lengths = Lengths(260, 0.5, 800)


@attrs.frozen
class BenchDeployment:
    """A fleet of engines and the traffic of its callers.

    ``engines`` holds the place of each engine. ``load_rate`` is a mean arrival rate in
    requests a second. It is about 5% below the highest rate that meets the online
    targets on the fleet of speed 1 without batch work, as found by `find_load_rate`.
    Latencies are one-way, in seconds.
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
    """Returns the deployment called ``name``.

    Raises `UnknownDeploymentError` if there is none.
    """
    if name not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise UnknownDeploymentError(
            f"unknown deployment {name!r}; expected one of {known}"
        )
    return DEPLOYMENTS[name]
