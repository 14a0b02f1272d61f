import asyncio
from functools import partial
from pathlib import Path

import hypothesis
import pytest
from twisted.internet.defer import Deferred

from pomeloshift.net import install_reactor

hypothesis.settings.register_profile("ci", deadline=None, derandomize=True)
hypothesis.settings.load_profile("ci")

# Installed first, because libraries that test modules import install their default
# reactor if there is none yet.
REACTOR = install_reactor()


# Turns a hang into a failure; far longer than any test takes beside load, in seconds.
HANG_S = 300.0

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
TEST_FIELD = "test: "


def known_red_tests():
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(TEST_FIELD) for line in lines if TEST_FIELD in line[:6]}


def pytest_collection_modifyitems(items):
    """Marks the tests that KNOWN-RED.txt names, and only them, as expected to fail."""
    names = known_red_tests()
    for item in items:
        if item.nodeid in names:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the outcome of each test that KNOWN-RED.txt names."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")


@pytest.fixture(scope="session")
def reactor():
    """The asyncio reactor, started so that its thread pool can resolve addresses."""
    loop = REACTOR._asyncioEventloop
    REACTOR.startRunning(installSignalHandlers=False)
    yield REACTOR
    stopped = REACTOR.fireSystemEvent("shutdown")
    assert stopped is None
    loop.run_until_complete(loop.shutdown_asyncgens())


@pytest.fixture
def run_async(reactor):
    """Runs a coroutine that awaits deferreds on the asyncio reactor's loop.

    A coroutine that hangs fails after `HANG_S`.
    """

    def run(coroutine):
        loop = reactor._asyncioEventloop
        future = Deferred.fromCoroutine(coroutine).asFuture(loop)
        return loop.run_until_complete(asyncio.wait_for(future, HANG_S))

    return run


@pytest.fixture
def run_blocking(reactor):
    """Runs a blocking function in a thread while the reactor's loop runs."""

    def run(function, *args, **kwargs):
        loop = reactor._asyncioEventloop
        call = partial(function, *args, **kwargs)
        return loop.run_until_complete(loop.run_in_executor(None, call))

    return run


@pytest.fixture
def pause(reactor):
    """Returns a function of seconds whose deferred fires when they have passed."""
    from twisted.internet.task import deferLater

    return lambda seconds: deferLater(reactor, seconds, lambda: None)


@pytest.fixture
def play(reactor, run_async):
    """Runs a scenario: a coroutine function that takes a `Deployment` of gateways."""
    from _gateway import Deployment

    def play(scenario):
        async def run():
            deployment = Deployment(reactor)
            try:
                return await scenario(deployment)
            finally:
                await deployment.stop()

        return run_async(run())

    return play
