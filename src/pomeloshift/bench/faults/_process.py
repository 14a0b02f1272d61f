"""A process in virtual time that can be killed, paused and restarted."""

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
    """The reactor and the clocks of one process.

    Timers and arriving data run only while the process lives; those due while it is
    paused run when it goes on. ``wall_offset_s`` shifts its wall clock.
    """

    def __init__(
        self, name: str, host: str, place: Place, clock: VirtualClock, network: Network
    ) -> None:
        self.name = name
        self.host = host
        self.place = place
        self.clock = clock
        self.network = network
        self.alive = True
        self.vanished = False
        self.wall_offset_s = 0.0
        self.nameResolver = AddressResolver()
        self.held_back = 0
        self.seen_version = 0
        self._paused = False
        self._waiting: list[Callable[[], Any]] = []
        network.add(self)

    # The clock of the shells.

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.seconds()

    def wall(self) -> float:
        """Returns the seconds since the epoch on this process's clock."""
        return EPOCH_S + self.clock.seconds() + self.wall_offset_s

    # The reactor.

    def seconds(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.seconds()

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> Any:
        """Runs a function after a delay, as far as the process then runs."""
        return DelayedCall(self, delay, lambda: function(*args, **kwargs))

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Returns no timers: nothing here looks for those left over."""
        return ()

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listens on this process's host."""
        return self.network.listen(self, port, factory)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Connects to a port of another process."""
        return self.network.connect(self, host, port, factory, timeout)

    def installNameResolver(self, resolver: Any) -> Any:  # noqa: N802
        """Replaces the resolver."""
        previous, self.nameResolver = self.nameResolver, resolver
        return previous

    # What happens to the process.

    def run(self, function: Callable[[], Any]) -> None:
        """Runs a function now, later if the process is paused, or never."""
        if not self.alive:
            return
        if self._paused:
            self.held_back += 1
            self._waiting.append(function)
        else:
            function()

    def kill(self) -> None:
        """Ends the process; its connections are reset."""
        self.alive = False
        self.network.reset(self)

    def vanish(self) -> None:
        """Takes the instance away; its connections go silent."""
        self.alive = False
        self.network.vanish(self)

    def pause(self, seconds: float) -> None:
        """Stops the process for a while, as the operating system may do."""
        self._paused = True
        self.clock.callLater(seconds, self._go_on)

    def _go_on(self) -> None:
        self._paused = False
        while self._waiting and not self._paused:
            self.run(self._waiting.pop(0))
