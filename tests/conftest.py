import pytest
from twisted.internet.defer import Deferred

from pomeloshift.net import install_reactor

# Importing treq would install another reactor, so this one is installed before
# any test module is imported.
REACTOR = install_reactor()


@pytest.fixture(scope="session")
def reactor():
    """The running asyncio reactor; the loop runs only within `run_async`."""
    REACTOR.startRunning(installSignalHandlers=False)
    yield REACTOR
    REACTOR.fireSystemEvent("shutdown")


@pytest.fixture
def run_async(reactor):
    """Runs a coroutine that awaits deferreds on the asyncio reactor's loop."""
    loop = reactor._asyncioEventloop

    def run(coroutine):
        return loop.run_until_complete(Deferred.fromCoroutine(coroutine).asFuture(loop))

    return run


@pytest.fixture
def pause(reactor):
    """Returns a function whose result is a deferred that fires after seconds."""
    from twisted.internet.task import deferLater

    return lambda seconds: deferLater(reactor, seconds, lambda: None)
