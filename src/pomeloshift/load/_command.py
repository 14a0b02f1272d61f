"""Runs a load from the command line."""

import sys

import attrs
import msgspec
from twisted.internet.defer import Deferred

from ..net import SystemClock, install_reactor
from ._plan import make_plan
from ._result import LoadResult

EXIT_INCOMPLETE = 1
EXIT_USAGE = 2


def run_command(
    target: str,
    rate: float = 10.0,
    seconds: float = 10.0,
    seed: int = 1,
    key: str = "",
    model: str = "",
    json: bool = False,
) -> int:
    """Sends a load to an entry, prints the measurements and returns the exit code.

    ``target`` is the entry's URL, ``rate`` is in requests per second, and ``key`` is a
    caller's API key. The code is 1 if any request got no complete response, and 2 for
    invalid arguments.
    """
    problem = _invalid_argument(target, rate, seconds, key, model)
    if problem:
        sys.stderr.write(f"pomeloshift load: {problem}\n")
        return EXIT_USAGE
    result = _run(target.rstrip("/"), rate, seconds, seed, key, model)
    sys.stdout.write(_as_json(result, seed) if json else _as_text(result, seed))
    return 0 if result.complete == result.planned else EXIT_INCOMPLETE


def _invalid_argument(
    target: str, rate: float, seconds: float, key: str, model: str
) -> str:
    if not target.startswith(("http://", "https://")):
        return "--target must be an http or https URL"
    if rate <= 0 or seconds <= 0:
        return "--rate and --seconds must be above 0"
    if not key:
        return "--key must be a caller's API key"
    if not model:
        return "--model must be the name of a model"
    return ""


def _run(
    target: str, rate: float, seconds: float, seed: int, key: str, model: str
) -> LoadResult:
    reactor = install_reactor()
    from ._run import LoadRun, LoadTarget

    results: list[LoadResult] = []
    failures: list[BaseException] = []

    async def run() -> None:
        try:
            load = LoadRun(LoadTarget(target, key, model), reactor, SystemClock())
            results.append(await load.run(make_plan(seed, rate, seconds)))
        except Exception as exc:
            failures.append(exc)
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run()))
    reactor.run()
    if failures:
        raise failures[0]
    return results[0]


def _as_json(result: LoadResult, seed: int) -> str:
    fields = {"seed": seed, **attrs.asdict(result)}
    return msgspec.json.encode(fields).decode() + "\n"


def _as_text(result: LoadResult, seed: int) -> str:
    lines = [
        f"{result.complete} of {result.planned} responses complete, "
        f"{result.tokens} tokens in {result.seconds:.1f} s (seed {seed})"
    ]
    lines += [f"error {code}: {count}" for code, count in result.errors.items()]
    for title, times in (
        ("first token", result.first_token),
        ("between tokens", result.between_tokens),
        ("full response", result.whole_answer),
        ("sent late by", result.late),
    ):
        lines.append(
            f"{title:<16} p50 {times.p50_s:.4f} s  p95 {times.p95_s:.4f} s  "
            f"p99 {times.p99_s:.4f} s  max {times.max_s:.4f} s"
        )
    return "\n".join(lines) + "\n"
