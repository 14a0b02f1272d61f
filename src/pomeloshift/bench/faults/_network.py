"""Connections between processes in virtual time."""

from random import Random
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from ._clock import VirtualClock
from ._transport import Pipe

if TYPE_CHECKING:
    from ._process import SimProcess

SAME_ZONE_S = 0.0003
SAME_REGION_S = 0.0015
BETWEEN_REGIONS_S = 0.02
JITTER = 0.5
FIRST_PORT = 20000


@attrs.define(eq=False)
class _Port:
    """A listening port."""

    process: "SimProcess"
    number: int
    factory: Any
    network: "Network"

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Returns the address that is listened on."""
        return IPv4Address("TCP", self.process.host, self.number)

    def stopListening(self) -> Any:  # noqa: N802
        """Closes the port; open connections go on."""
        from twisted.internet.defer import succeed

        self.network.ports.pop((self.process.host, self.number), None)
        return succeed(None)


@attrs.define(eq=False)
class _Connector:
    """An attempt to connect."""

    factory: Any
    stopped: bool = False
    pipe: Pipe | None = None

    def stopConnecting(self) -> None:  # noqa: N802
        """Gives the attempt up."""
        self.stopped = True

    def disconnect(self) -> None:
        """Gives the attempt up or closes the connection."""
        self.stopped = True
        if self.pipe is not None:
            self.pipe.near.loseConnection()


class Network:
    """All ports and connections, with the faults that are switched on.

    A pair of regions in ``cut`` cannot reach each other. `silence` makes the present
    connections between two processes carry nothing any more while new ones work.
    """

    def __init__(self, clock: VirtualClock, rng: Random) -> None:
        self.clock = clock
        self.ports: dict[tuple[str, int], _Port] = {}
        self.cut: set[frozenset[str]] = set()
        self.bytes_dropped = 0
        self.refusals = 0
        self.stopped_by_cut = 0
        self._rng = rng
        self._pipes: list[Pipe] = []
        self._processes: dict[str, SimProcess] = {}
        self._next_port = FIRST_PORT

    def add(self, process: "SimProcess") -> None:
        """Makes a process reachable by its host."""
        self._processes[process.host] = process

    def process_at(self, host: str) -> "SimProcess | None":
        """Returns the process that has this host now."""
        return self._processes.get(host)

    def latency(self, source: "SimProcess", target: "SimProcess") -> float:
        """Returns the time that a message takes, with some randomness."""
        base = _base_latency(source, target)
        return base * (1.0 + JITTER * self._rng.random())

    def reaches(self, source: "SimProcess", target: "SimProcess") -> bool:
        """Tells whether messages get through between the regions of two processes."""
        regions = frozenset((source.place.region, target.place.region))
        if regions in self.cut:
            self.stopped_by_cut += 1
            return False
        return True

    def listen(self, process: "SimProcess", port: int, factory: Any) -> _Port:
        """Opens a port; 0 chooses a free one."""
        if port == 0:
            self._next_port += 1
            port = self._next_port
        factory.reactor = process
        factory.log = lambda request: None
        factory.doStart()
        listening = _Port(process, port, factory, self)
        self.ports[process.host, port] = listening
        return listening

    def connect(
        self,
        source: "SimProcess",
        host: str,
        port: int,
        factory: Any,
        timeout_s: float,
    ) -> _Connector:
        """Begins to connect."""
        connector = _Connector(factory)
        factory.doStart()
        factory.startedConnecting(connector)
        target = self._processes.get(host)
        reachable = target is not None and self.reaches(source, target)
        if target is None or not reachable or target.vanished:
            self._fail(source, connector, TimeoutError(), timeout_s)
            return connector
        delay_s = 2 * self.latency(source, target)
        self.clock.callLater(
            delay_s, source.run, lambda: self._establish(source, connector, host, port)
        )
        return connector

    def silence(self, one: "SimProcess", other: "SimProcess") -> int:
        """Makes the open connections between two processes silent; counts them."""
        ends = {one, other}
        silenced = [p for p in self._pipes if {p.near.process, p.far.process} == ends]
        for pipe in silenced:
            pipe.silent = True
        return len([p for p in silenced if p.is_open])

    def drop_answers_of(self, process: "SimProcess") -> int:
        """Cuts the connections on which a process is asked, before it answers."""
        dropped = 0
        for pipe in self._pipes_of(process):
            if pipe.far.process is process and not pipe.is_local:
                pipe.silent = True
                dropped += 1
        return dropped

    def delay_answers_of(self, process: "SimProcess", seconds: float) -> int:
        """Holds back what a process sends on its present connections."""
        delayed = 0
        for pipe in self._pipes_of(process):
            for end in (pipe.near, pipe.far):
                if end.process is not process:
                    end.hold_until(self.clock.seconds() + seconds)
                    delayed += 1
        return delayed

    def reset(self, process: "SimProcess") -> None:
        """Closes what a process that has ended leaves behind."""
        self._drop_ports(process)
        for pipe in self._pipes_of(process):
            pipe.reset_by(process)

    def vanish(self, process: "SimProcess") -> None:
        """Makes everything about an instance silent."""
        process.vanished = True
        for pipe in self._pipes_of(process):
            pipe.silent = True

    def carries(self, pipe: Pipe) -> bool:
        """Tells whether a connection carries data now."""
        return not pipe.silent and self.reaches(pipe.near.process, pipe.far.process)

    def _drop_ports(self, process: "SimProcess") -> None:
        for key in [k for k, port in self.ports.items() if port.process is process]:
            del self.ports[key]

    def _pipes_of(self, process: "SimProcess") -> list[Pipe]:
        self._pipes = [pipe for pipe in self._pipes if pipe.is_open]
        return [p for p in self._pipes if process in (p.near.process, p.far.process)]

    def _establish(
        self, source: "SimProcess", connector: _Connector, host: str, port: int
    ) -> None:
        if connector.stopped:
            return
        listening = self.ports.get((host, port))
        if listening is None or not listening.process.alive:
            self._fail(source, connector, ConnectionRefusedError(), 0.0)
            return
        peer = IPv4Address("TCP", source.host, FIRST_PORT - 1)
        near = connector.factory.buildProtocol(listening.getHost())
        far = listening.factory.buildProtocol(peer)
        if near is None or far is None:
            self._fail(source, connector, ConnectionRefusedError(), 0.0)
            return
        pipe = Pipe(self, source, listening.process, peer, listening.getHost())
        connector.pipe = pipe
        self._pipes.append(pipe)
        pipe.join(near, far, connector)

    def _fail(
        self,
        source: "SimProcess",
        connector: _Connector,
        error: Exception,
        delay_s: float,
    ) -> None:
        self.refusals += 1

        def tell() -> None:
            if not connector.stopped:
                connector.factory.clientConnectionFailed(connector, Failure(error))

        self.clock.callLater(delay_s, source.run, tell)


def _base_latency(source: "SimProcess", target: "SimProcess") -> float:
    if source.place.region != target.place.region:
        return BETWEEN_REGIONS_S
    if source.place.availability_zone != target.place.availability_zone:
        return SAME_REGION_S
    return SAME_ZONE_S
