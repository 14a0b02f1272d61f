"""A TCP relay that adds latency and a bandwidth limit to connections."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from ._link import Link


@attrs.frozen
class RelayPath:
    """The path between two availability zones.

    ``latency_s`` applies to each direction. ``link_out`` and ``link_back`` limit the
    bandwidth of the direction to the target and of the one from it.
    """

    latency_s: float
    link_out: Link | None = None
    link_back: Link | None = None


class _DelayedCalls:
    """Makes calls after the latency of a path and the transfer time, in order."""

    def __init__(self, reactor: Any, latency_s: float, link: Link | None) -> None:
        self._reactor = reactor
        self._latency_s = latency_s
        self._link = link
        self._last_at = 0.0

    def call(self, size: int, function: Callable[..., None], *args: Any) -> None:
        now = self._reactor.seconds()
        departure = now if self._link is None else self._link.departure(size, now)
        self._last_at = max(departure + self._latency_s, self._last_at)
        self._reactor.callLater(max(0.0, self._last_at - now), function, *args)


class _Side(Protocol):
    """One end of a relayed connection."""

    def __init__(self, delayed: _DelayedCalls) -> None:
        self._delayed = delayed
        self._pending: list[bytes] = []
        self._ended = False
        self.peer: _Side | None = None

    def attach(self, peer: "_Side") -> None:
        """Connects this side to the other one and forwards the pending data."""
        self.peer = peer
        for data in self._pending:
            self._forward(data)
        self._pending.clear()
        if self._ended:
            self._forward_end()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.peer is None:
            self._pending.append(data)
        else:
            self._forward(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._ended = True
        if self.peer is not None:
            self._forward_end()

    def write(self, data: bytes) -> None:
        """Writes data that the other side received."""
        if not self._ended:
            self._writable().write(data)

    def close(self) -> None:
        """Closes this side after all data was written."""
        if not self._ended:
            self._writable().loseConnection()

    def _writable(self) -> Any:
        return self.transport

    def _forward(self, data: bytes) -> None:
        assert self.peer is not None
        self._delayed.call(len(data), self.peer.write, data)

    def _forward_end(self) -> None:
        assert self.peer is not None
        self._delayed.call(0, self.peer.close)


class Relay:
    """Listens on loopback and forwards each connection to ``target_port``.

    ``port`` is the port on which it listens.
    """

    def __init__(self, reactor: Any, target_port: int, path: RelayPath) -> None:
        self._reactor = reactor
        self._path = path
        endpoint_host = "127.0.0.1"
        self._target = TCP4ClientEndpoint(reactor, endpoint_host, target_port)
        factory = Factory.forProtocol(self._accept)
        factory.noisy = False
        self._port = reactor.listenTCP(0, factory, interface=endpoint_host)
        self.port: int = self._port.getHost().port

    async def stop(self) -> None:
        """Closes the listening port."""
        await self._port.stopListening()

    def _accept(self) -> _Side:
        path = self._path
        near = _Side(_DelayedCalls(self._reactor, path.latency_s, path.link_out))
        far = _Side(_DelayedCalls(self._reactor, path.latency_s, path.link_back))
        connecting = connectProtocol(self._target, far)

        def on_connected(_: Any) -> None:
            far.attach(near)
            near.attach(far)

        def on_failed(_: Any) -> None:
            if near.transport is not None:
                near.transport.abortConnection()

        connecting.addCallbacks(on_connected, on_failed)
        return near
