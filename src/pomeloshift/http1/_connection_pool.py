"""The pool that opens and reuses client connections."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from ._client_connection import Call, ClientConnection
from ._errors import ConnectError
from ._messages import RequestHead
from ._pool_config import PoolConfig


class ConnectionPool:
    """Opens connections and reuses idle ones, the most recently used first.

    ``on_doubt`` is called with the id of a request and the server's address when a
    response on a reused connection names no request.
    """

    def __init__(self, reactor: Any, clock: Any, config: PoolConfig) -> None:
        self.reactor = reactor
        self._clock = clock
        self._config = config
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0
        self.on_doubt: Callable[[str, str], None] = lambda request_id, address: None
        self._sweeper = LoopingCall(self._sweep)
        self._sweeper.clock = reactor

    def start(self) -> None:
        """Starts to close connections that have been idle for ``idle_s`` seconds."""
        self._sweeper.start(self._config.sweep_interval_s, now=False)

    def stop(self) -> None:
        """Closes all idle connections."""
        if self._sweeper.running:
            self._sweeper.stop()
        for connections in list(self._idle.values()):
            for connection in list(connections):
                connection._close()

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        probe: RequestHead | None = None,
    ) -> Call:
        """Sends a request over an idle or a new connection.

        ``probe`` is a request without an id to which the server responds at once with
        status 200. If a response on a reused connection names no request, the probe is
        sent after it: the order of responses shows whether it belongs to the request.

        Raises `ConnectError`, or `InvalidRequestError` for a request that HTTP does not
        allow, if nothing was sent.
        """
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        return connection.send(head, body, probe)

    def release(self, connection: ClientConnection) -> None:
        """Makes a connection available for the next call."""
        idle_s = self._config.idle_s
        connection.idle_until = self._clock.monotonic() + idle_s
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Removes a closed connection, if it is in the pool."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address, [])
        now = self._clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.idle_until > now:
                return connection
            connection._close()
        return None

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        for address, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_until <= now]:
                connection._close()
            if not idle:
                self._idle.pop(address, None)

    async def _connect(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=self._config.connect_timeout_s
        )
        factory: Any = _Factory(self, address)
        try:
            connecting: Deferred[Any] = endpoint.connect(factory)
            self.opened += 1
            return await connecting
        except CancelledError:
            raise
        except ConnectingCancelledError as exc:
            raise CancelledError from exc
        except Exception as exc:
            raise ConnectError(f"{address}: {type(exc).__name__}") from exc


@attrs.define(eq=False)
class _Factory(Factory):
    _pool: ConnectionPool
    _address: str
    noisy = False

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        return ClientConnection(self._pool, self._address)
