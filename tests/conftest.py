import pytest
from twisted.internet.defer import Deferred

from pomeloshift.net import install_reactor


@pytest.fixture(scope="session")
def reactor():
    return install_reactor()


@pytest.fixture
def run_async(reactor):
    """Runs a coroutine that awaits deferreds on the asyncio reactor's loop."""

    def run(coroutine):
        loop = reactor._asyncioEventloop
        return loop.run_until_complete(Deferred.fromCoroutine(coroutine).asFuture(loop))

    return run


@pytest.fixture
def pause(reactor):
    """Returns a function whose result is a deferred that fires after seconds."""
    from twisted.internet.task import deferLater

    return lambda seconds: deferLater(reactor, seconds, lambda: None)
