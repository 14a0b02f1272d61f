"""A simulated network between processes in virtual time."""

from random import Random
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from ._clock import VirtualClock
from ._transport import Connection

if TYPE_CHECKING:
    from ._process import SimProcess

SAME_ZONE_S = 0.0003
SAME_REGION_S = 0.0015
BETWEEN_REGIONS_S = 0.02
JITTER = 0.5
FIRST_PORT = 20000


@attrs.define(eq=False)
class _Port:
    """A listening port, with the interface of Twisted's `IListeningPort`."""

    process: "SimProcess"
    number: int
    factory: Any
    network: "Network"

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Returns the listening address."""
        return IPv4Address("TCP", self.process.host, self.number)

    def stopListening(self) -> Any:  # noqa: N802
        """Closes the port; open connections stay open."""
        from twisted.internet.defer import succeed

        self.network.ports.pop((self.process.host, self.number), None)
        return succeed(None)


@attrs.define(eq=False)
class _Connector:
    """An attempt to connect, with the interface of Twisted's `IConnector`."""

    factory: Any
    is_stopped: bool = False
    connection: Connection | None = None

    def stopConnecting(self) -> None:  # noqa: N802
        """Abandons the attempt."""
        self.is_stopped = True

    def disconnect(self) -> None:
        """Abandons the attempt or closes the connection."""
        self.is_stopped = True
        if self.connection is not None:
            self.connection.near.loseConnection()


class Network:
    """All ports and connections, and the network faults in force.

    The regions of a pair in ``partitioned`` cannot reach each other. `drop_traffic`
    makes the open connections between two processes drop all data without an error;
    connections opened later work.
    """

    def __init__(self, clock: VirtualClock, rng: Random) -> None:
        self.clock = clock
        self.ports: dict[tuple[str, int], _Port] = {}
        self.partitioned: set[frozenset[str]] = set()
        self.bytes_dropped = 0
        self.refusals = 0
        self.blocked_by_partition = 0
        self._rng = rng
        self._connections: list[Connection] = []
        self._processes: dict[str, SimProcess] = {}
        self._next_port = FIRST_PORT

    def add(self, process: "SimProcess") -> None:
        """Registers a process under its host."""
        self._processes[process.host] = process

    def process_at(self, host: str) -> "SimProcess | None":
        """Returns the process registered under a host, or `None`."""
        return self._processes.get(host)

    def latency(self, source: "SimProcess", target: "SimProcess") -> float:
        """Returns the one-way latency of a message in seconds, with jitter."""
        base = _base_latency(source, target)
        return base * (1.0 + JITTER * self._rng.random())

    def can_reach(self, source: "SimProcess", target: "SimProcess") -> bool:
        """Returns whether no partition separates the regions of two processes.

        Counts each check that fails in ``blocked_by_partition``.
        """
        regions = frozenset((source.place.region, target.place.region))
        if regions in self.partitioned:
            self.blocked_by_partition += 1
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
        """Starts to connect; failures are reported to the factory."""
        connector = _Connector(factory)
        factory.doStart()
        factory.startedConnecting(connector)
        target = self._processes.get(host)
        is_reachable = target is not None and self.can_reach(source, target)
        if target is None or not is_reachable or target.is_instance_lost:
            self._fail(source, connector, TimeoutError(), timeout_s)
            return connector
        delay_s = 2 * self.latency(source, target)
        self.clock.callLater(
            delay_s, source.run, lambda: self._establish(source, connector, host, port)
        )
        return connector

    def drop_traffic(self, one: "SimProcess", other: "SimProcess") -> int:
        """Makes the connections between two processes drop all data.

        Returns how many of them are open.
        """
        ends = {one, other}
        affected = [
            conn
            for conn in self._connections
            if {conn.near.process, conn.far.process} == ends
        ]
        for connection in affected:
            connection.drops_traffic = True
        return len([conn for conn in affected if conn.is_open])

    def drop_responses_of(self, process: "SimProcess") -> int:
        """Makes connections to a process drop all data, so that responses are lost.

        Returns the number of these connections.
        """
        dropped = 0
        for connection in self._connections_of(process):
            if connection.far.process is process and not connection.is_local:
                connection.drops_traffic = True
                dropped += 1
        return dropped

    def delay_data_from(self, process: "SimProcess", seconds: float) -> int:
        """Delays the data that a process sends on its open connections.

        Returns the number of these connections.
        """
        delayed = 0
        for connection in self._connections_of(process):
            for end in (connection.near, connection.far):
                if end.process is not process:
                    end.hold_until(self.clock.seconds() + seconds)
                    delayed += 1
        return delayed

    def reset(self, process: "SimProcess") -> None:
        """Closes the ports and resets the connections of a process that has ended."""
        self._drop_ports(process)
        for connection in self._connections_of(process):
            connection.reset_by(process)

    def lose_instance(self, process: "SimProcess") -> None:
        """Makes all connections of a lost instance drop their data."""
        process.is_instance_lost = True
        for connection in self._connections_of(process):
            connection.drops_traffic = True

    def can_deliver(self, connection: Connection) -> bool:
        """Returns whether a connection delivers data at this moment."""
        return not connection.drops_traffic and self.can_reach(
            connection.near.process, connection.far.process
        )

    def _drop_ports(self, process: "SimProcess") -> None:
        for key in [k for k, port in self.ports.items() if port.process is process]:
            del self.ports[key]

    def _connections_of(self, process: "SimProcess") -> list[Connection]:
        self._connections = [
            connection for connection in self._connections if connection.is_open
        ]
        return [
            conn
            for conn in self._connections
            if process in (conn.near.process, conn.far.process)
        ]

    def _establish(
        self, source: "SimProcess", connector: _Connector, host: str, port: int
    ) -> None:
        if connector.is_stopped:
            return
        listening = self.ports.get((host, port))
        if listening is None or not listening.process.is_alive:
            self._fail(source, connector, ConnectionRefusedError(), 0.0)
            return
        peer = IPv4Address("TCP", source.host, FIRST_PORT - 1)
        near = connector.factory.buildProtocol(listening.getHost())
        far = listening.factory.buildProtocol(peer)
        if near is None or far is None:
            self._fail(source, connector, ConnectionRefusedError(), 0.0)
            return
        connection = Connection(
            self, source, listening.process, peer, listening.getHost()
        )
        connector.connection = connection
        self._connections.append(connection)
        connection.join(near, far, connector)

    def _fail(
        self,
        source: "SimProcess",
        connector: _Connector,
        error: Exception,
        delay_s: float,
    ) -> None:
        self.refusals += 1

        def notify() -> None:
            if not connector.is_stopped:
                connector.factory.clientConnectionFailed(connector, Failure(error))

        self.clock.callLater(delay_s, source.run, notify)


def _base_latency(source: "SimProcess", target: "SimProcess") -> float:
    if source.place.region != target.place.region:
        return BETWEEN_REGIONS_S
    if source.place.availability_zone != target.place.availability_zone:
        return SAME_REGION_S
    return SAME_ZONE_S
