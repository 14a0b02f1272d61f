"""Sleep for coroutines, on the reactor's clock."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Returns a deferred that fires after ``seconds``."""
    return deferLater(reactor, max(0.0, seconds), lambda: None)
