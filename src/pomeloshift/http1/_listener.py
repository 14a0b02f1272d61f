"""The listening port of an HTTP server and its connections."""

from collections.abc import Callable
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.internet.protocol import Factory

from ..dispatch import HttpLimits
from ._caller_memory import CallerMemory
from ._exchange import Exchange
from ._server_connection import ServerConnection
from ._turns import Turns

# Connections that wait for `accept`; the system's own limit is usually lower.
LISTEN_BACKLOG = 1024


class HttpListener(Factory):
    """Accepts connections and passes each request to ``handle``.

    ``limits`` may be replaced at any time; a connection keeps the limits that applied
    when it was accepted. With ``memory``, callers share a budget; without it, only the
    limits of each request apply.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Any,
        handle: Callable[[Exchange], None],
        max_connections: int,
        memory: CallerMemory | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.handle = handle
        self.limits = HttpLimits()
        self.is_closing = False
        self.memory = memory
        self.turns = Turns(reactor)
        self._max_connections = max_connections
        self._connections: set[ServerConnection] = set()
        self._flushing: set[ServerConnection] = set()
        self._port: Any = None

    def listen(self, host: str, port: int) -> int:
        """Listens on the address and returns the port, chosen by the system for 0."""
        self._port = self.reactor.listenTCP(
            port, self, backlog=LISTEN_BACKLOG, interface=host
        )
        if self.memory is not None:
            # Accepted connections inherit the sizes. What the system holds of a
            # connection that is not read counts as memory of the process.
            for option in (SO_RCVBUF, SO_SNDBUF):
                size = self.memory.socket_buffer
                self._port.socket.setsockopt(SOL_SOCKET, option, size)
        return int(self._port.getHost().port)

    def listen_at(self, address: str) -> str:
        """Listens on ``IP:PORT`` and returns the address with the actual port."""
        host, _, port = address.rpartition(":")
        return f"{host}:{self.listen(host, int(port))}"

    def buildProtocol(self, addr: Any) -> ServerConnection | None:  # noqa: N802
        """Accepts a connection unless ``max_connections`` are open.

        With a budget, one without progress is closed for it.
        """
        if self.memory is not None:
            count = len(self._connections) + len(self._flushing)
            if count >= self._max_connections and not self.memory.make_room():
                return None
        elif len(self._connections) >= self._max_connections:
            return None
        return ServerConnection(self)

    def add(self, connection: ServerConnection) -> None:
        """Adds a connection that has opened."""
        self._connections.add(connection)

    def flush(self, connection: ServerConnection) -> None:
        """Takes a connection that closes once what was written has been sent."""
        self._connections.discard(connection)
        self._flushing.add(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Removes a connection that has closed."""
        self._connections.discard(connection)
        self._flushing.discard(connection)

    @property
    def open_responses(self) -> int:
        """The number of requests whose responses have not been sent completely."""
        under_way = sum(conn.has_exchange for conn in self._connections)
        return under_way + len(self._flushing)

    def close_idle(self) -> None:
        """Closes the connections that have no request under way."""
        for connection in [c for c in self._connections if c.is_idle]:
            connection.close()

    async def stop_accepting(self) -> None:
        """Closes the port; connections stay open."""
        port, self._port = self._port, None
        if port is not None:
            await maybeDeferred(port.stopListening)

    async def stop(self) -> None:
        """Closes the port and all connections."""
        await self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()
