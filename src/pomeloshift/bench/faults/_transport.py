"""A simulated TCP connection and its two transports."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IConsumer, IPushProducer, ITCPTransport
from twisted.python.failure import Failure
from zope.interface import implementer

if TYPE_CHECKING:
    from ._network import Network
    from ._process import SimProcess


@implementer(ITCPTransport, IConsumer, IPushProducer)
class Transport:
    """The Twisted transport at one end of a connection.

    ``other`` is the transport at the other end.
    """

    def __init__(
        self,
        connection: "Connection",
        process: "SimProcess",
        own: IPv4Address,
        peer: IPv4Address,
    ) -> None:
        self.connection = connection
        self.process = process
        self.other: Transport = self
        self.protocol: Any = None
        self.connected = True
        self.disconnecting = False
        self._own = own
        self._peer = peer
        self._outgoing = bytearray()
        self._flushing = False
        self._producer: Any = None
        self._reading = True
        self._unread: list[bytes] = []
        self._arrival_at = 0.0
        self._pending_loss: Exception | None = None

    def write(self, data: bytes) -> None:
        """Buffers data and schedules its sending."""
        if not self.connected or self.disconnecting and self._producer is None:
            return
        self._outgoing += data
        self._flush_later()

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Writes the concatenation of ``data``."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once all data is sent."""
        if not self.connected or self.disconnecting:
            return
        self.disconnecting = True
        if self._producer is None:
            self._close()

    def abortConnection(self) -> None:  # noqa: N802
        """Closes the connection immediately and discards unsent data."""
        if not self.connected:
            return
        self._outgoing.clear()
        self.end(ConnectionAborted())
        self.other.end_later(ConnectionLost())

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Closes the connection; half-closed connections are not simulated."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Registers a producer; this transport never pauses it."""
        self._producer = producer
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Removes the producer and completes a pending close."""
        self._producer = None
        if self.disconnecting and self.connected:
            self._close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffers data that arrives from now on."""
        self._reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Delivers the buffered data and a pending loss of the connection."""
        self._reading = True
        while self._unread and self._reading and self.connected:
            self.protocol.dataReceived(self._unread.pop(0))
        if self._pending_loss is not None and not self._unread:
            self.end(self._pending_loss)

    def stopProducing(self) -> None:  # noqa: N802
        """Closes the connection."""
        self.loseConnection()

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Returns the other end's address."""
        return self._peer

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Returns this end's address."""
        return self._own

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing; small packets are not delayed."""

    def getTcpNoDelay(self) -> bool:  # noqa: N802
        """Returns true; small packets are not delayed."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing; a connection that drops its traffic is not detected."""

    def getTcpKeepAlive(self) -> bool:  # noqa: N802
        """Returns false; there are no keep-alive probes."""
        return False

    def end(self, reason: Exception) -> None:
        """Reports to the protocol that the connection is lost."""
        if not self.connected:
            return
        self.connected = False
        self.process.run(lambda: self.protocol.connectionLost(Failure(reason)))

    def end_later(self, reason: Exception) -> None:
        """Reports the loss after the latency, after the data in flight."""
        if self.connection.network.can_deliver(self.connection):
            self._at_arrival(lambda: self._handle_loss(reason))

    def deliver(self, data: bytes) -> None:
        """Passes arrived data to the protocol, or buffers it while paused."""
        if not self.connected:
            return
        if self._reading and not self._unread:
            self.protocol.dataReceived(data)
        else:
            self._unread.append(data)

    def hold_until(self, at: float) -> None:
        """Delays all further arrivals until ``at``."""
        self._arrival_at = max(self._arrival_at, at)

    def _handle_loss(self, reason: Exception) -> None:
        if self._unread:
            self._pending_loss = reason
        else:
            self.end(reason)

    def _close(self) -> None:
        self._flush()
        self.other.end_later(ConnectionDone())
        network = self.connection.network
        network.clock.callLater(0, self.process.run, lambda: self.end(ConnectionDone()))

    def _flush_later(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.connection.network.clock.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        data = bytes(self._outgoing)
        self._outgoing.clear()
        if not data:
            return
        network = self.connection.network
        if not network.can_deliver(self.connection):
            # Lost data is never retransmitted, so the connection stays unusable.
            self.connection.drops_traffic = True
            network.bytes_dropped += len(data)
            return
        other = self.other
        other._at_arrival(lambda: other.deliver(data))

    def _at_arrival(self, function: Any) -> None:
        """Calls a function at this end after the latency, in the order of sending."""
        network = self.connection.network
        now = network.clock.seconds()
        latency = network.latency(self.other.process, self.process)
        self._arrival_at = max(self._arrival_at, now + latency)
        network.clock.callLater(self._arrival_at - now, self.process.run, function)


class Connection:
    """A connection between two processes.

    ``near`` is the transport of the process that connected, ``far`` that of the
    listening process. With ``drops_traffic`` all data is lost without an error.
    """

    def __init__(
        self,
        network: "Network",
        source: "SimProcess",
        target: "SimProcess",
        source_address: IPv4Address,
        target_address: IPv4Address,
    ) -> None:
        self.network = network
        self.drops_traffic = False
        self.near = Transport(self, source, source_address, target_address)
        self.far = Transport(self, target, target_address, source_address)
        self.near.other = self.far
        self.far.other = self.near

    @property
    def is_local(self) -> bool:
        """Whether both ends belong to the same process."""
        return self.near.process is self.far.process

    @property
    def is_open(self) -> bool:
        """Whether at least one end regards the connection as open."""
        return self.near.connected or self.far.connected

    def join(self, near: Any, far: Any, connector: Any) -> None:
        """Connects the protocols of the two ends."""
        self.near.protocol = near
        self.far.protocol = far
        self.far.process.run(lambda: far.makeConnection(self.far))
        near.makeConnection(self.near)

    def reset_by(self, process: "SimProcess") -> None:
        """Resets the connection because ``process`` has ended."""
        for end in (self.near, self.far):
            if end.process is process:
                end.connected = False
            else:
                end.end_later(ConnectionLost())
