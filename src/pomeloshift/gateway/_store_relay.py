"""Relays calls of other gateways to the store."""

from typing import Any

from twisted.internet.defer import CancelledError

from ..appends import slowest_transfer_s
from ..errors import PomeloshiftError, Ran
from ..http1 import Client, Exchange, Headers, HttpListener, RequestHead
from ..net._periodic_tasks import spawn
from ..platform import CALL_TIMEOUT_S
from ._timing import RELAY_CONNECTIONS, RELAY_TIMEOUT_S


class StoreRelay:
    """Relays calls, unchanged, for gateways that the store rejects."""

    def __init__(self, store: str, client: Client, reactor: Any, clock: Any) -> None:
        self._store = store
        self._client = client
        self._listener = HttpListener(reactor, clock, self._handle, RELAY_CONNECTIONS)

    def listen(self, host: str, port: int) -> int:
        """Listens on an address and returns the actual port."""
        return self._listener.listen(host, port)

    async def stop(self) -> None:
        """Closes the port and all connections."""
        await self._listener.stop()

    def _handle(self, exchange: Exchange) -> None:
        task = spawn(self._relay(exchange))
        exchange.on_disconnect = task.cancel

    async def _relay(self, exchange: Exchange) -> None:
        head = exchange.head
        fields = [(b"Host", self._store.encode())]
        forwarded = RequestHead(head.method, head.target, Headers(fields))
        # The gateway whose call this is knows the path and may give up sooner.
        timeout_s = RELAY_TIMEOUT_S + slowest_transfer_s(len(exchange.body))
        try:
            resp = await self._client.call(
                self._store,
                forwarded,
                exchange.body,
                timeout_s,
                pause_s=CALL_TIMEOUT_S,
            )
        except CancelledError:
            raise
        except PomeloshiftError as exc:
            if exc.ran is Ran.NO:
                exchange.respond(503, [], b"")
            else:
                # Any response would look like one of the store.
                exchange.abort()
            return
        exchange.respond(resp.status, [], resp.body)
