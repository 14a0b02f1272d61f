"""A TCP relay that adds the latency between two availability zones."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from ._link import Link


@attrs.frozen
class Path:
    """The way between two availability zones, in both directions."""

    latency_s: float
    link_out: Link | None = None
    link_back: Link | None = None


class _Delayed:
    """Writes data to a transport after a delay, in order."""

    def __init__(self, reactor: Any, latency_s: float, link: Link | None) -> None:
        self._reactor = reactor
        self._latency_s = latency_s
        self._link = link
        self._last = 0.0

    def call(self, size: int, function: Callable[..., None], *args: Any) -> None:
        now = self._reactor.seconds()
        left = now if self._link is None else self._link.departure(size, now)
        self._last = max(left + self._latency_s, self._last)
        self._reactor.callLater(max(0.0, self._last - now), function, *args)


class _Side(Protocol):
    """One end of a relayed connection."""

    def __init__(self, delayed: _Delayed) -> None:
        self._delayed = delayed
        self._waiting: list[bytes] = []
        self._ended = False
        self.peer: _Side | None = None

    def attach(self, peer: "_Side") -> None:
        """Joins this side to the other one and sends what has waited."""
        self.peer = peer
        for data in self._waiting:
            self._forward(data)
        self._waiting.clear()
        if self._ended:
            self._forward_end()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.peer is None:
            self._waiting.append(data)
        else:
            self._forward(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._ended = True
        if self.peer is not None:
            self._forward_end()

    def write(self, data: bytes) -> None:
        """Sends data that the other side received."""
        if not self._ended:
            self._stream().write(data)

    def close(self) -> None:
        """Closes this side once what was written has left."""
        if not self._ended:
            self._stream().loseConnection()

    def _stream(self) -> Any:
        return self.transport

    def _forward(self, data: bytes) -> None:
        assert self.peer is not None
        self._delayed.call(len(data), self.peer.write, data)

    def _forward_end(self) -> None:
        assert self.peer is not None
        self._delayed.call(0, self.peer.close)


class Relay:
    """Listens on loopback and forwards each connection to ``target_port``."""

    def __init__(self, reactor: Any, target_port: int, path: Path) -> None:
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
        near = _Side(_Delayed(self._reactor, path.latency_s, path.link_out))
        far = _Side(_Delayed(self._reactor, path.latency_s, path.link_back))
        connecting = connectProtocol(self._target, far)

        def joined(_: Any) -> None:
            far.attach(near)
            near.attach(far)

        def refused(_: Any) -> None:
            if near.transport is not None:
                near.transport.abortConnection()

        connecting.addCallbacks(joined, refused)
        return near
