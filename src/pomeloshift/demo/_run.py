"""Runs the demo and prints its report."""

from random import Random

import msgspec
from loguru import logger

from ..net import SystemClock, install_reactor
from ..net._logging import configure_logging

EXIT_BROKEN = 1


def run_demo(as_json: bool, seed: int) -> int:
    """Runs the demo, prints its report and returns the exit code.

    The code is 1 if a promise was broken or the demo could not run to its end.
    """
    configure_logging("CRITICAL")
    reactor = install_reactor()
    from ._progress import Progress
    from ._scenario import Scenario

    scenario = Scenario(reactor, SystemClock(), Random(seed), Progress(not as_json))
    outcome: list[int] = []

    async def run() -> None:
        try:
            report = await scenario.run()
            text = msgspec.json.encode(report.as_json()).decode()
            print(text if as_json else report.as_text())
            outcome.append(EXIT_BROKEN if report.broken else 0)
        except Exception as exc:
            logger.opt(exception=exc).critical("event=demo_failed")
            outcome.append(EXIT_BROKEN)
        finally:
            reactor.stop()

    from twisted.internet.defer import Deferred

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run()))
    reactor.run()
    return outcome[0] if outcome else EXIT_BROKEN
