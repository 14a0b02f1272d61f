"""Runs the demo and prints its report."""

from random import Random

import msgspec
from loguru import logger

from ..net import SystemClock, install_reactor
from ..net._logging import configure_logging

EXIT_FAILED = 1


def run_demo(as_json: bool, seed: int) -> int:
    """Runs the demo, prints its report and returns the exit code.

    The code is 1 if a check failed or the demo did not run to its end.
    """
    configure_logging("CRITICAL")
    reactor = install_reactor()
    from ._progress import Progress
    from ._scenario import Scenario

    scenario = Scenario(reactor, SystemClock(), Random(seed), Progress(not as_json))
    exit_codes: list[int] = []

    async def run() -> None:
        try:
            report = await scenario.run()
            text = msgspec.json.encode(report.as_json()).decode()
            print(text if as_json else report.as_text())
            exit_codes.append(EXIT_FAILED if report.failed_checks else 0)
        except Exception as exc:
            logger.opt(exception=exc).critical("event=demo_failed")
            exit_codes.append(EXIT_FAILED)
        finally:
            reactor.stop()

    from twisted.internet.defer import Deferred

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run()))
    reactor.run()
    return exit_codes[0] if exit_codes else EXIT_FAILED
