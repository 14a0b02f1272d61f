"""Client connections: send requests and read the responses."""

from enum import Enum
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from ._body_sender import SLICE_BYTES, BodySender
from ._errors import InvalidRequestError
from ._mailbox import Mailbox
from ._messages import (
    Chunk,
    Disconnected,
    Headers,
    RequestHead,
    ResponseEnd,
    ResponseHead,
    is_final_status,
)
from ._overhead import Overhead

# Informational (1xx) and stale responses that are skipped before the response.
MAX_SKIPPED_RESPONSES = 16
REQUEST_ID = b"x-request-id"

# The status of the response to a probe.
PROBE_STATUS = 200

ResponseEvent = ResponseHead | Chunk | ResponseEnd | Disconnected


class _Origin(Enum):
    """What a response answers.

    ``OWN`` answers the request under way, ``STALE`` an earlier one, and ``PROBE`` the
    probe. ``DOUBTFUL`` answers either of the first two.
    """

    OWN = "own"
    STALE = "stale"
    PROBE = "probe"
    DOUBTFUL = "doubtful"


class Call:
    """A request under way and the events of its response.

    await call.next(2.0)  # ResponseHead, Chunk ..., ResponseEnd or Disconnected
    """

    def __init__(self, connection: "ClientConnection", reactor: Any) -> None:
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


class ClientConnection(Protocol):
    """A connection that has at most one request under way.

    A faulty server may send an earlier response once more, also one that names no
    request. What a reused connection receives without an id is therefore held back
    until a probe, sent after it, has been answered: if the response to the request
    comes first, what was held back belonged to an earlier one.
    """

    def __init__(self, pool: Any, address: str) -> None:
        self.address = address
        self._pool = pool
        self._h11 = h11.Connection(h11.CLIENT)
        self._call: Call | None = None
        self._head: RequestHead | None = None
        self._body = b""
        self._sender: BodySender | None = None
        self._probe: RequestHead | None = None
        self._held: list[ResponseEvent] = []
        self._completed_calls = 0
        self._has_received = False
        self._overhead = Overhead()
        self._skipped_responses = 0
        self._is_unframed = False
        self._origin = _Origin.OWN
        self._is_open = True
        self._is_paused = False
        self.idle_until = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    @property
    def is_usable(self) -> bool:
        return self._is_open and self._call is None

    @property
    def _is_sending(self) -> bool:
        """Whether a part of the request's body is still to be sent."""
        return self._sender is not None and not self._sender.is_done

    def send(
        self, head: RequestHead, body: bytes, probe: RequestHead | None = None
    ) -> Call:
        """Sends a request; see `ConnectionPool.send`."""
        try:
            parts = self._encode(head, body)
        except h11.LocalProtocolError as exc:
            # The parser cannot be used for another request.
            self._close()
            raise InvalidRequestError(f"{self.address}: {exc}") from exc
        self._call = Call(self, self._pool.reactor)
        self._head, self._body, self._probe = head, body, probe
        self._held = []
        self._has_received = False
        self._overhead = Overhead()
        self._skipped_responses = 0
        transport: Any = self.transport
        if len(body) <= SLICE_BYTES:
            transport.write(b"".join(parts))
        else:
            transport.write(parts[0])
            self._sender = BodySender(transport, body)
            self._sender.start()
        return self._call

    def _encode(self, head: RequestHead, body: bytes) -> list[bytes]:
        """Returns the request's parts, the head first.

        The parser expects its response from then on.
        """
        fields = list(head.headers)
        if body or head.method not in (b"GET", b"DELETE"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=head.method, target=head.target, headers=fields)
        parts = [self._h11.send(request)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return [part for part in parts if part]

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
        if is_clean and self._is_unframed and self._is_sending:
            # A server that stops reading may as well have broken off its response.
            self._fail("closed during the upload", by_server=True)
        elif is_clean and self._is_unframed:
            try:
                self._h11.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError as exc:
                self._fail(str(exc))
        else:
            reason_text = "closed by the server" if is_clean else "reset"
            self._fail(reason_text, by_server=True)

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
            self._begin_response(call, event)
        elif isinstance(event, h11.Data):
            self._take_data(call, Chunk(bytes(event.data)))
        elif isinstance(event, h11.InformationalResponse):
            self._count_skipped()
        elif isinstance(event, h11.EndOfMessage):
            self._end_response(call)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed by the server", by_server=True)

    def _begin_response(self, call: Call, event: h11.Response) -> None:
        if not is_final_status(event.status_code):
            self._fail(f"unknown status {event.status_code}")
            return
        headers = Headers(event.headers.raw_items())
        head = ResponseHead(event.status_code, headers, _is_framed(event))
        self._origin = self._find_origin(head)
        is_own = self._origin is _Origin.OWN
        if not head.is_framed and (self._held or not is_own):
            # It ends with the connection, so that what follows looks like its body.
            self._fail(f"a response without a length, {self._origin.value}")
        elif is_own:
            self._is_unframed = not head.is_framed
            call.deliver(head)
        elif self._origin is _Origin.DOUBTFUL and self._held:
            self._fail("two responses that name no request")
        else:
            if self._origin is _Origin.DOUBTFUL:
                self._held.append(head)
            self._count_skipped()

    def _find_origin(self, head: ResponseHead) -> _Origin:
        assert self._head is not None
        sent = self._head.headers.get(REQUEST_ID)
        echoed = head.headers.get(REQUEST_ID)
        if sent is None or sent == echoed:
            return _Origin.OWN
        if echoed is not None:
            return _Origin.STALE
        if self._held and head.status == PROBE_STATUS:
            return _Origin.PROBE
        is_first = self._completed_calls == 0
        return _Origin.OWN if is_first or not self._probe else _Origin.DOUBTFUL

    def _take_data(self, call: Call, chunk: Chunk) -> None:
        if self._origin is _Origin.OWN:
            self._overhead.body += len(chunk.data)
            call.deliver(chunk)
        elif self._origin is _Origin.DOUBTFUL:
            self._held.append(chunk)

    def _end_response(self, call: Call) -> None:
        if self._origin is _Origin.OWN:
            self._finish(call)
        elif self._origin is _Origin.PROBE:
            held, self._held = self._held, []
            self._finish(call, held)
        else:
            is_doubtful = self._origin is _Origin.DOUBTFUL
            self._skip_response()
            if is_doubtful and self._is_open:
                self._send_probe()

    def _skip_response(self) -> None:
        """Resets the parser after a response to read the next one."""
        assert self._head is not None
        trailing, is_closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        # The request was sent before; encoding it again only sets the parser's state.
        self._encode(self._head, self._body)
        if trailing:
            self._h11.receive_data(trailing)
        if is_closed:
            self._h11.receive_data(b"")

    def _send_probe(self) -> None:
        assert self._head is not None
        assert self._probe is not None
        self._pool.on_doubt(self._head.headers.text(REQUEST_ID), self.address)
        fields = list(self._probe.headers)
        request = h11.Request(
            method=self._probe.method, target=self._probe.target, headers=fields
        )
        if self._sender is not None:
            self._sender.flush()
        encoder = h11.Connection(h11.CLIENT)
        transport: Any = self.transport
        transport.write(encoder.send(request))

    def _finish(self, call: Call, held: list[ResponseEvent] | None = None) -> None:
        """Ends the call, whose response is complete, and delivers what was held."""
        self._body = b""
        self._call = None
        self._completed_calls += 1
        trailing, is_closed = self._h11.trailing_data
        is_reusable = (
            self._is_open
            and not trailing
            and not is_closed
            and not self._is_sending
            # The response to the probe is still due.
            and not self._held
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if is_reusable:
            self.set_reading(True)
            self._h11.start_next_cycle()
            self._pool.release(self)
        else:
            self._close()
        call.is_over = True
        for event in held or ():
            call.deliver(event)
        call.deliver(ResponseEnd())

    def _fail(self, reason: str, by_server: bool = False) -> None:
        call, self._call = self._call, None
        self._close()
        if call is not None:
            was_reused = self._completed_calls > 0 and not self._has_received
            # A server that closes after what may be its response has not crashed.
            is_known = not self._held or self._origin is _Origin.OWN
            call.deliver(Disconnected(reason, was_reused, by_server and is_known))

    def _close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._body, self._sender = b"", None
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
