"""Client connections and the pool that reuses them."""

from typing import Any

import attrs
import h11
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError, ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from ._errors import ConnectError
from ._mailbox import Mailbox
from ._messages import (
    Chunk,
    Disconnected,
    Headers,
    RequestHead,
    ResponseEnd,
    ResponseHead,
)
from ._overhead import Overhead
from ._pool_config import PoolConfig

# Informational (1xx) and stale responses that are skipped before the response.
MAX_SKIPPED_RESPONSES = 16

ResponseEvent = ResponseHead | Chunk | ResponseEnd | Disconnected


class Call:
    """A request under way and the events of its response.

    await call.next(2.0)  # ResponseHead, Chunk ..., ResponseEnd or Disconnected
    """

    def __init__(self, connection: "_Connection", reactor: Any) -> None:
        self._connection = connection
        self._mailbox: Mailbox[ResponseEvent] = Mailbox(reactor)
        self.is_over = False

    async def next(self, timeout_s: float) -> ResponseEvent:
        """Returns the response's next event.

        Raises `CallTimeoutError` if none arrives within ``timeout_s`` seconds.
        """
        return await self._mailbox.get(timeout_s)

    def next_ready(self) -> ResponseEvent | None:
        """Returns the next event if it has arrived already, otherwise `None`."""
        return self._mailbox.take()

    def deliver(self, event: ResponseEvent) -> None:
        """Queues an event for the reader of the response."""
        if isinstance(event, (ResponseEnd, Disconnected)):
            self.is_over = True
        self._mailbox.put(event)

    def pause(self) -> None:
        """Stops reading from the server (back-pressure) until the response ends."""
        if not self.is_over:
            self._connection.set_reading(False)

    def resume(self) -> None:
        """Resumes reading from the server."""
        if not self.is_over:
            self._connection.set_reading(True)

    def abort(self) -> None:
        """Closes the connection if the response is not complete."""
        if not self.is_over:
            self.is_over = True
            self._connection.abort()


class _Connection(Protocol):
    """A connection that has at most one request under way."""

    def __init__(self, pool: "ConnectionPool", address: str) -> None:
        self.address = address
        self._pool = pool
        self._h11 = h11.Connection(h11.CLIENT)
        self._call: Call | None = None
        self._head: RequestHead | None = None
        self._body = b""
        self._completed_calls = 0
        self._has_received = False
        self._overhead = Overhead()
        self._skipped_responses = 0
        self._is_unframed = False
        self._is_stale = False
        self._is_open = True
        self._is_paused = False
        self.idle_until = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    @property
    def is_usable(self) -> bool:
        return self._is_open and self._call is None

    def send(self, head: RequestHead, body: bytes) -> Call:
        self._call = Call(self, self._pool.reactor)
        self._head, self._body = head, body
        self._has_received = False
        self._overhead = Overhead()
        self._skipped_responses = 0
        transport: Any = self.transport
        transport.write(self._encode(head, body))
        return self._call

    def _encode(self, head: RequestHead, body: bytes) -> bytes:
        """Returns the request's bytes and makes the parser expect its response."""
        fields = list(head.headers)
        if body or head.method not in (b"GET", b"DELETE"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=head.method, target=head.target, headers=fields)
        parts = [self._h11.send(request)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def set_reading(self, is_reading: bool) -> None:
        transport: Any = self.transport
        if not self._is_open or self._is_paused != is_reading:
            return
        self._is_paused = not is_reading
        if is_reading:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def abort(self) -> None:
        self._call = None
        self._close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._call is None:
            # Bytes after a complete response belong to no request.
            self._close()
            return
        self._has_received = True
        self._overhead.received += len(data)
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"invalid HTTP response: {exc}")
            return
        if self._overhead.is_exceeded:
            self._fail("too many bytes beside the body")

    def _count_skipped(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self._fail("too many informational or stale responses")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._is_open = False
        self._pool.discard(self)
        if self._call is None:
            return
        is_clean = reason is not None and reason.check(ConnectionDone) is not None
        if is_clean and self._is_unframed:
            try:
                self._h11.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError as exc:
                self._fail(str(exc))
            return
        self._fail("closed by the server" if is_clean else "reset", by_server=True)

    def _process_events(self) -> None:
        while self._call is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._handle(event)

    def _handle(self, event: Any) -> None:
        call = self._call
        if call is None:
            return
        if isinstance(event, h11.Response):
            self._is_stale = not self._is_expected(event)
            if self._is_stale:
                self._count_skipped()
                return
            headers = Headers(event.headers.raw_items())
            self._is_unframed = not _is_framed(event)
            call.deliver(
                ResponseHead(event.status_code, headers, not self._is_unframed)
            )
        elif isinstance(event, h11.Data):
            if not self._is_stale:
                self._overhead.body += len(event.data)
                call.deliver(Chunk(bytes(event.data)))
        elif isinstance(event, h11.InformationalResponse):
            self._count_skipped()
        elif isinstance(event, h11.EndOfMessage):
            if self._is_stale:
                self._skip_stale_response()
            else:
                self._finish(call)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed by the server", by_server=True)

    def _is_expected(self, response: h11.Response) -> bool:
        """Returns whether a response belongs to the request under way.

        A server may send a second response to an earlier request. Such a stale
        response is recognised by its request id.
        """
        assert self._head is not None
        sent = self._head.headers.get(b"x-request-id")
        echoed = Headers(list(response.headers)).get(b"x-request-id")
        return sent is None or echoed is None or sent == echoed

    def _skip_stale_response(self) -> None:
        """Resets the parser after a stale response to read the next one."""
        assert self._head is not None
        trailing, is_closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._is_stale = False
        # The request was sent before; encoding it again only sets the parser's state.
        self._encode(self._head, self._body)
        if trailing:
            self._h11.receive_data(trailing)
        if is_closed:
            self._h11.receive_data(b"")

    def _finish(self, call: Call) -> None:
        self._call = None
        self._completed_calls += 1
        trailing, is_closed = self._h11.trailing_data
        is_reusable = (
            self._is_open
            and not trailing
            and not is_closed
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if is_reusable:
            self.set_reading(True)
            self._h11.start_next_cycle()
            self._pool.release(self)
        else:
            self._close()
        call.deliver(ResponseEnd())

    def _fail(self, reason: str, by_server: bool = False) -> None:
        call, self._call = self._call, None
        self._close()
        if call is not None:
            was_reused = self._completed_calls > 0 and not self._has_received
            call.deliver(Disconnected(reason, was_reused, by_server))

    def _close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._pool.discard(self)
            transport: Any = self.transport
            transport.abortConnection()


def _is_framed(response: h11.Response) -> bool:
    names = {name for name, _ in response.headers}
    return (
        b"content-length" in names
        or b"transfer-encoding" in names
        or response.status_code in (204, 304)
    )


class ConnectionPool:
    """Opens connections and reuses idle ones, the most recently used first."""

    def __init__(self, reactor: Any, clock: Any, config: PoolConfig) -> None:
        self.reactor = reactor
        self._clock = clock
        self._config = config
        self._idle: dict[str, list[_Connection]] = {}
        self.opened = 0
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

    async def send(self, address: str, head: RequestHead, body: bytes) -> Call:
        """Sends a request over an idle or a new connection.

        Raises `ConnectError` if nothing was sent.
        """
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        return connection.send(head, body)

    def release(self, connection: _Connection) -> None:
        """Makes a connection available for the next call."""
        idle_s = self._config.idle_s
        connection.idle_until = self._clock.monotonic() + idle_s
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: _Connection) -> None:
        """Removes a closed connection, if it is in the pool."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def _take_idle(self, address: str) -> _Connection | None:
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

    async def _connect(self, address: str) -> _Connection:
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

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        return _Connection(self._pool, self._address)
