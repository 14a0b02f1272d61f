"""A connection in virtual time and its two ends."""

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
class End:
    """One end of a connection, as the protocol at it sees its transport."""

    def __init__(
        self, pipe: "Pipe", process: "SimProcess", own: IPv4Address, peer: IPv4Address
    ) -> None:
        self.pipe = pipe
        self.process = process
        self.other: End = self
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
        """Sends data."""
        if not self.connected or self.disconnecting and self._producer is None:
            return
        self._outgoing += data
        self._flush_later()

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Sends pieces of data."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once everything was sent."""
        if not self.connected or self.disconnecting:
            return
        self.disconnecting = True
        if self._producer is None:
            self._close()

    def abortConnection(self) -> None:  # noqa: N802
        """Closes the connection at once."""
        if not self.connected:
            return
        self._outgoing.clear()
        self.end(ConnectionAborted())
        self.other.end_later(ConnectionLost())

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Closes the connection; half-open ones are not needed here."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Takes a producer; this transport never asks it to pause."""
        self._producer = producer
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forgets the producer."""
        self._producer = None
        if self.disconnecting and self.connected:
            self._close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Keeps data back that arrives from now on."""
        self._reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Hands on the data that was kept back."""
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
        """Has no effect here."""

    def getTcpNoDelay(self) -> bool:  # noqa: N802
        """Tells that small packets are not held back."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Has no effect here: silent connections stay silent."""

    def getTcpKeepAlive(self) -> bool:  # noqa: N802
        """Tells that there are no probes."""
        return False

    def end(self, reason: Exception) -> None:
        """Tells the protocol that the connection is over."""
        if not self.connected:
            return
        self.connected = False
        self.process.run(lambda: self.protocol.connectionLost(Failure(reason)))

    def end_later(self, reason: Exception) -> None:
        """Tells the protocol so after the latency, behind the data on its way."""
        if self.pipe.network.carries(self.pipe):
            self._at_arrival(lambda: self._lose(reason))

    def deliver(self, data: bytes) -> None:
        """Hands data that has arrived to the protocol."""
        if not self.connected:
            return
        if self._reading and not self._unread:
            self.protocol.dataReceived(data)
        else:
            self._unread.append(data)

    def hold_until(self, at: float) -> None:
        """Lets nothing arrive before a time."""
        self._arrival_at = max(self._arrival_at, at)

    def _lose(self, reason: Exception) -> None:
        if self._unread:
            self._pending_loss = reason
        else:
            self.end(reason)

    def _close(self) -> None:
        self._flush()
        self.other.end_later(ConnectionDone())
        network = self.pipe.network
        network.clock.callLater(0, self.process.run, lambda: self.end(ConnectionDone()))

    def _flush_later(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.pipe.network.clock.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        data = bytes(self._outgoing)
        self._outgoing.clear()
        if not data:
            return
        network = self.pipe.network
        if not network.carries(self.pipe):
            # What a connection has lost once is never sent again on it.
            self.pipe.silent = True
            network.bytes_dropped += len(data)
            return
        other = self.other
        other._at_arrival(lambda: other.deliver(data))

    def _at_arrival(self, function: Any) -> None:
        """Runs a function at this end after the latency, in the order of sending."""
        network = self.pipe.network
        now = network.clock.seconds()
        latency = network.latency(self.other.process, self.process)
        self._arrival_at = max(self._arrival_at, now + latency)
        network.clock.callLater(self._arrival_at - now, self.process.run, function)


class Pipe:
    """A connection between two processes."""

    def __init__(
        self,
        network: "Network",
        source: "SimProcess",
        target: "SimProcess",
        source_address: IPv4Address,
        target_address: IPv4Address,
    ) -> None:
        self.network = network
        self.silent = False
        self.near = End(self, source, source_address, target_address)
        self.far = End(self, target, target_address, source_address)
        self.near.other = self.far
        self.far.other = self.near

    @property
    def is_local(self) -> bool:
        """Whether both ends are on one instance."""
        return self.near.process is self.far.process

    @property
    def is_open(self) -> bool:
        """Whether either end takes it for open."""
        return self.near.connected or self.far.connected

    def join(self, near: Any, far: Any, connector: Any) -> None:
        """Connects the two protocols."""
        self.near.protocol = near
        self.far.protocol = far
        self.far.process.run(lambda: far.makeConnection(self.far))
        near.makeConnection(self.near)

    def reset_by(self, process: "SimProcess") -> None:
        """Ends the connection because a process has ended."""
        for end in (self.near, self.far):
            if end.process is process:
                end.connected = False
            else:
                end.end_later(ConnectionLost())
