import pytest
from _loop import shared_loop

from pomeloshift.net import install_reactor

# Before any test module imports a library that would install another reactor.
install_reactor()


@pytest.fixture(scope="session")
def reactor():
    return shared_loop().reactor


@pytest.fixture
def run_async(reactor):
    """Runs a coroutine that awaits deferreds on the process's one loop."""

    def run(coroutine):
        return shared_loop().run(lambda: coroutine)

    return run


@pytest.fixture
def pause(reactor):
    """Returns a function whose result is a deferred that fires after seconds."""
    from twisted.internet.task import deferLater

    return lambda seconds: deferLater(reactor, seconds, lambda: None)
