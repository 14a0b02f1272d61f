"""Runs the reactor in a thread of its own, so that tests may call blocking clients."""

import threading

from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread

from pomeloshift.net import install_reactor

WAIT_S = 60


class Loop:
    """The process's reactor, running in a daemon thread.

    ``run(function)`` calls a function, which may be a coroutine function, on the
    reactor's thread and returns its result to the calling thread.
    """

    def __init__(self):
        self.reactor = install_reactor()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        started = threading.Event()
        self.reactor.callWhenRunning(started.set)
        self._thread.start()
        assert started.wait(WAIT_S)

    def _serve(self):
        self.reactor.run(installSignalHandlers=False)

    def run(self, function, *args, **kwargs):
        """Returns what the function, run on the reactor's thread, returns."""

        def call():
            result = function(*args, **kwargs)
            if hasattr(result, "send"):
                return Deferred.fromCoroutine(result)
            return result

        return blockingCallFromThread(self.reactor, call)


_loops = []


def shared_loop():
    """Returns the one loop of this process; a reactor cannot be started twice."""
    if not _loops:
        _loops.append(Loop())
    return _loops[0]
