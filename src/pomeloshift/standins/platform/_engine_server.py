"""Serves a stand-in of a model engine on the platform."""

from typing import Any

import attrs
import msgspec

from ...http1 import Exchange, HttpListener

CONNECTIONS = 512
STAMP = (b"X-Response-Stamp", b"stand-in.1")


@attrs.define
class Behaviour:
    """How an engine treats its next requests.

    ``break_after`` events the connection is reset; ``status`` is answered instead of
    a stream; ``is_full`` refuses without running; ``is_silent`` never answers, and
    otherwise the answer begins after ``wait_s``.
    """

    events: int = 4
    wait_s: float = 0.0
    event_gap_s: float = 0.001
    break_after: int | None = None
    status: int = 200
    is_full: bool = False
    is_silent: bool = False
    has_stamp: bool = True


@attrs.frozen
class Seen:
    """A request that reached the engine."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes


class EngineServer:
    """Streams numbered events, and notes what it was sent."""

    def __init__(self, reactor: Any, clock: Any, engine_id: str) -> None:
        self.id = engine_id
        self.behaviour = Behaviour()
        self.seen: list[Seen] = []
        self.aborted = 0
        self.running = 0
        self._reactor = reactor
        self._listener = HttpListener(reactor, clock, self._handle, CONNECTIONS)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listens and returns the address."""
        return f"{host}:{self._listener.listen(host, port)}"

    def entry(self, address: str, service: str, **changes: Any) -> bytes:
        """Returns the record that the engine writes to the store."""
        fields = {
            "service": service,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "serving",
            "coldLeftMs": 0,
            "born": 1,
            "seq": 1,
        }
        return msgspec.json.encode({**fields, **changes})

    async def stop(self) -> None:
        """Closes the port and all connections."""
        await self._listener.stop()

    def _handle(self, exchange: Exchange) -> None:
        headers = {
            key.decode().lower(): value.decode() for key, value in exchange.head.headers
        }
        target = exchange.head.target.decode()
        if target == "/api/report":
            body = {"waiting": 0, "running": self.running}
            exchange.respond(200, [], msgspec.json.encode(body))
            return
        expected = headers.get("x-expect-instance", self.id)
        request_id = headers.get("x-request-id", "")
        if expected != self.id:
            exchange.respond(421, [(b"X-Instance-Id", self.id.encode())], b"")
            return
        self.seen.append(Seen(request_id, target, headers, exchange.body))
        self._run(exchange, request_id, int(headers.get("last-event-id", 0)))

    def _run(self, exchange: Exchange, request_id: str, last_id: int) -> None:
        how = self.behaviour
        fields = [(b"X-Request-Id", request_id.encode())]
        if how.is_silent:
            return
        if how.is_full:
            exchange.respond(503, [*fields, (b"X-Not-Executed", b"1")], b"")
            return
        if how.has_stamp:
            fields.append(STAMP)
        if how.status != 200:
            exchange.respond(how.status, fields, b"failed")
            return
        load = f"{self.running},0,8".encode()
        fields += [(b"X-Server-Load", load), (b"Content-Type", b"text/event-stream")]
        self.running += 1
        exchange.on_gone = self._note_gone
        self._reactor.callLater(how.wait_s, self._start, exchange, how, fields, last_id)

    def _start(
        self, exchange: Exchange, how: Behaviour, fields: list[Any], last_id: int
    ) -> None:
        if exchange.is_over:
            return
        exchange.start(200, fields)
        self._send(exchange, how, last_id + 1, sent=0)

    def _send(self, exchange: Exchange, how: Behaviour, number: int, sent: int) -> None:
        if exchange.is_over:
            return
        if how.break_after is not None and sent >= how.break_after:
            self.running -= 1
            exchange.write(b"id: %d\nda" % number)
            exchange.abort()
        elif number > how.events:
            self.running -= 1
            exchange.finish()
        else:
            exchange.write(b"id: %d\ndata: word%d\n\n" % (number, number))
            self._reactor.callLater(
                how.event_gap_s, self._send, exchange, how, number + 1, sent + 1
            )

    def _note_gone(self) -> None:
        self.running -= 1
        self.aborted += 1
