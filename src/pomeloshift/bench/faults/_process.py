"""A simulated process that can be killed and paused."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import (
    IReactorPluggableNameResolver,
    IReactorTCP,
    IReactorTime,
)
from zope.interface import implementer

from ...model import Place
from ._clock import VirtualClock
from ._delayed_call import DelayedCall
from ._network import Network
from ._resolver import AddressResolver

EPOCH_S = 1_800_000_000.0


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
class SimProcess:
    """A Twisted reactor and the clocks of one process.

    Timers and arriving data are handled only while the process is alive; those due
    during a pause are handled when it resumes. ``wall_offset_s`` shifts the wall clock.
    """

    def __init__(
        self, name: str, host: str, place: Place, clock: VirtualClock, network: Network
    ) -> None:
        self.name = name
        self.host = host
        self.place = place
        self.clock = clock
        self.network = network
        self.is_alive = True
        self.is_instance_lost = False
        self.wall_offset_s = 0.0
        self.nameResolver = AddressResolver()
        self.deferred_calls = 0
        self.recorded_version = 0
        self._paused = False
        self._deferred: list[Callable[[], Any]] = []
        network.add(self)

    # The clock of the I/O layer.

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.seconds()

    def wall(self) -> float:
        """Returns the seconds since the Unix epoch on the process's wall clock."""
        return EPOCH_S + self.clock.seconds() + self.wall_offset_s

    # The reactor.

    def seconds(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.seconds()

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> Any:
        """Calls a function after a delay, unless the process has ended by then."""
        return DelayedCall(self, delay, lambda: function(*args, **kwargs))

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Returns an empty tuple; the simulation does not track pending timers."""
        return ()

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Opens a port on the process's host; 0 chooses a free one."""
        return self.network.listen(self, port, factory)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Starts to connect to a port of another process."""
        return self.network.connect(self, host, port, factory, timeout)

    def installNameResolver(self, resolver: Any) -> Any:  # noqa: N802
        """Replaces the name resolver and returns the previous one."""
        previous, self.nameResolver = self.nameResolver, resolver
        return previous

    # Execution and faults of the process.

    def run(self, function: Callable[[], Any]) -> None:
        """Calls a function now, after a pause, or never if the process has ended."""
        if not self.is_alive:
            return
        if self._paused:
            self.deferred_calls += 1
            self._deferred.append(function)
        else:
            function()

    def kill(self) -> None:
        """Ends the process; its connections are reset."""
        self.is_alive = False
        self.network.reset(self)

    def lose_instance(self) -> None:
        """Ends the process with its instance; peers see no reset, only lost data."""
        self.is_alive = False
        self.network.lose_instance(self)

    def pause(self, seconds: float) -> None:
        """Suspends the process for ``seconds``, as a scheduler or hypervisor may do."""
        self._paused = True
        self.clock.callLater(seconds, self._resume)

    def _resume(self) -> None:
        self._paused = False
        while self._deferred and not self._paused:
            self.run(self._deferred.pop(0))
