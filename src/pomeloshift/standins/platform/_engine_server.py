"""Serves a stand-in for a model engine of the platform."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from ...http1 import Exchange, HttpListener

MAX_CONNECTIONS = 512
STAMP = (b"X-Response-Stamp", b"stand-in.1")


@attrs.define
class Behaviour:
    """How an engine handles the requests that follow.

    The response is a stream of ``events`` numbered events. It starts after
    ``delay_s`` seconds, and ``event_gap_s`` seconds pass between events. With
    ``reset_after_events`` the engine sends that many events and a part of the next
    one, then resets the connection. A ``status`` other than 200 is sent without a
    stream. With ``endless`` it sends ``endless_after`` events, then these bytes again
    and again until its caller disconnects. A request with the body ``crash_body``, or
    with the part ``crash_part`` in its prompt, crashes the engine, at once or after
    ``reset_after_events``; others run normally.

    With ``is_full`` the engine rejects requests with 503 and does not run them. With
    ``is_silent`` it never responds. Without ``has_stamp`` its responses lack the
    ``X-Response-Stamp`` header. Responses name ``limit``, the requests a second that
    the engine takes from all callers together, unless it is None. With ``is_leaving``
    they say that the engine is about to exit.
    """

    events: int = 4
    delay_s: float = 0.0
    event_gap_s: float = 0.001
    reset_after_events: int | None = None
    endless: bytes = b""
    endless_after: int = 0
    crash_body: bytes | None = None
    crash_part: str | None = None
    status: int = 200
    is_full: bool = False
    is_silent: bool = False
    has_stamp: bool = True
    limit: float | None = None
    is_leaving: bool = False


@attrs.frozen
class ReceivedRequest:
    """A request that reached the engine; header names are in lower case."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes


class EngineServer:
    """Streams numbered events and records the requests it receives.

    ``born`` is the start time that it reports, in Unix milliseconds.
    ``running`` counts open streams, ``aborted`` those whose caller disconnected.
    ``on_crash`` is called after a request has crashed the engine.
    """

    def __init__(self, reactor: Any, clock: Any, engine_id: str) -> None:
        self.id = engine_id
        self.born = 1
        self.behaviour = Behaviour()
        self.requests: list[ReceivedRequest] = []
        self.aborted = 0
        self.running = 0
        self.on_crash: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._listener = HttpListener(reactor, clock, self._handle, MAX_CONNECTIONS)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen and returns the address as ``host:port``."""
        return f"{host}:{self._listener.listen(host, port)}"

    def record(self, address: str, service: str, **changes: Any) -> bytes:
        """Returns the record with which the engine registers in the store.

        ``changes`` replace fields of the record, which is a JSON object.
        """
        fields = {
            "service": service,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "serving",
            "coldLeftMs": 0,
            "born": self.born,
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
            body = {"waiting": 0, "running": self.running, "born": self.born}
            exchange.respond(200, [], msgspec.json.encode(body))
            return
        expected = headers.get("x-expect-instance", self.id)
        request_id = headers.get("x-request-id", "")
        if expected != self.id:
            exchange.respond(421, [(b"X-Instance-Id", self.id.encode())], b"")
            return
        self.requests.append(
            ReceivedRequest(request_id, target, headers, exchange.body)
        )
        self._run(exchange, request_id, headers)

    def _run(
        self, exchange: Exchange, request_id: str, headers: dict[str, str]
    ) -> None:
        last_id = int(headers.get("last-event-id", 0))
        behaviour = self.behaviour
        if behaviour.crash_body is not None or behaviour.crash_part is not None:
            if not _is_crash(behaviour, exchange.body, headers):
                behaviour = attrs.evolve(behaviour, reset_after_events=None)
            elif behaviour.reset_after_events is None:
                self._crash(exchange)
                return
        fields = [(b"X-Request-Id", request_id.encode())]
        if behaviour.limit is not None:
            fields.append((b"Server-Limit", b"%g" % behaviour.limit))
        if behaviour.is_leaving:
            fields.append((b"Server-Leaving", b"1"))
        if behaviour.is_silent:
            return
        if behaviour.is_full:
            exchange.respond(503, [*fields, (b"X-Not-Executed", b"1")], b"")
            return
        if behaviour.has_stamp:
            fields.append(STAMP)
        if behaviour.status != 200:
            exchange.respond(behaviour.status, fields, b"failed")
            return
        load = f"{self.running},0,8".encode()
        fields += [(b"X-Server-Load", load), (b"Content-Type", b"text/event-stream")]
        self.running += 1
        exchange.on_disconnect = self._on_disconnect
        self._reactor.callLater(
            behaviour.delay_s, self._start, exchange, behaviour, fields, last_id
        )

    def _start(
        self, exchange: Exchange, behaviour: Behaviour, fields: list[Any], last_id: int
    ) -> None:
        if exchange.is_over:
            return
        exchange.start(200, fields)
        self._send(exchange, behaviour, last_id + 1, sent=0)

    def _send(
        self, exchange: Exchange, behaviour: Behaviour, number: int, sent: int
    ) -> None:
        if exchange.is_over:
            return
        if (
            behaviour.reset_after_events is not None
            and sent >= behaviour.reset_after_events
        ):
            self.running -= 1
            exchange.write(b"id: %d\nda" % number)
            self._crash(exchange)
        elif behaviour.endless and sent >= behaviour.endless_after:
            self._repeat(exchange, behaviour)
        elif number > behaviour.events:
            self.running -= 1
            exchange.finish()
        else:
            exchange.write(b"id: %d\ndata: word%d\n\n" % (number, number))
            self._reactor.callLater(
                behaviour.event_gap_s,
                self._send,
                exchange,
                behaviour,
                number + 1,
                sent + 1,
            )

    def _repeat(self, exchange: Exchange, behaviour: Behaviour) -> None:
        if exchange.is_over:
            return
        if not exchange.is_paused:
            exchange.write(behaviour.endless)
        gap_s = behaviour.event_gap_s
        self._reactor.callLater(gap_s, self._repeat, exchange, behaviour)

    def _crash(self, exchange: Exchange) -> None:
        exchange.abort()
        self.on_crash()

    def _on_disconnect(self) -> None:
        self.running -= 1
        self.aborted += 1


def _is_crash(behaviour: Behaviour, body: bytes, headers: dict[str, str]) -> bool:
    entries = headers.get("x-prompt-prefix", "").split(",")
    parts = [entry.partition(":")[0] for entry in entries]
    return body == behaviour.crash_body or behaviour.crash_part in parts
