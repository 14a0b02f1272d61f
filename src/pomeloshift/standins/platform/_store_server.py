"""Serves a stand-in for the platform's store."""

import base64
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from ...http1 import Exchange, HttpListener
from ._store_state import Refusal, StoreState

LENGTH = struct.Struct(">I")
OFFSET = struct.Struct(">Q")
POLL_INTERVAL_S = 0.01
PAGE_ITEMS = 500
MAX_CONNECTIONS = 1024


class StoreServer:
    """Serves appends, reads, and pages of each key's newest record.

    With ``is_silent`` calls get no response, and with ``is_busy`` they are rejected
    with 503. Calls are handled ``delay_s`` seconds after they arrive. The next
    ``responses_to_drop`` appends are applied, but the connection is reset instead of a
    response. Reads of ``overlooked_topics`` that wait for records respond only when
    their time is up.
    """

    def __init__(self, reactor: Any, clock: Any) -> None:
        self.state = StoreState()
        self.is_silent = False
        self.is_busy = False
        self.delay_s = 0.0
        self.responses_to_drop = 0
        self.overlooked_topics: set[str] = set()
        self.appends = 0
        self._reactor = reactor
        self._clock = clock
        self._listener = HttpListener(reactor, clock, self._handle, MAX_CONNECTIONS)

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen and returns the address as ``host:port``."""
        return f"{host}:{self._listener.listen(host, port)}"

    async def stop(self) -> None:
        """Closes the port and all connections."""
        await self._listener.stop()

    def _handle(self, exchange: Exchange) -> None:
        if self.delay_s > 0:
            self._reactor.callLater(self.delay_s, self._respond_to, exchange)
        else:
            self._respond_to(exchange)

    def _respond_to(self, exchange: Exchange) -> None:
        if self.is_silent or exchange.is_over:
            return
        if self.is_busy:
            exchange.respond(503, [], b"")
            return
        url = urlsplit(exchange.head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        handlers: dict[str, Callable[[Exchange, dict[str, str]], None]] = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
        }
        handler = handlers.get(url.path)
        if handler is None:
            exchange.respond(404, [], b"")
            return
        handler(exchange, query)

    def _append(self, exchange: Exchange, query: dict[str, str]) -> None:
        self.appends += 1
        partition = self.state.partition(query["topic"], int(query["part"]))
        result = partition.append(
            _split(exchange.body),
            query.get("producer", ""),
            int(query.get("epoch", 0)),
            int(query.get("seq", 0)),
        )
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            exchange.abort()
            return
        if isinstance(result, Refusal):
            _respond(exchange, 409, {"why": result.why, "seq": result.expected})
            return
        _respond(exchange, 200, {"offset": result.offset, "end": result.end})

    def _read(self, exchange: Exchange, query: dict[str, str]) -> None:
        until = self._clock.monotonic() + int(query.get("waitMs", 0)) / 1000
        self._try_read(exchange, query, until)

    def _try_read(
        self, exchange: Exchange, query: dict[str, str], until: float
    ) -> None:
        if exchange.is_over or self.is_silent:
            return
        partition = self.state.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < partition.first:
            _respond(exchange, 410, {"first": partition.first})
            return
        has_records = start < len(partition.records)
        if query["topic"] in self.overlooked_topics:
            has_records = False
        if not has_records and self._clock.monotonic() < until:
            self._reactor.callLater(
                POLL_INTERVAL_S, self._try_read, exchange, query, until
            )
            return
        limit = int(query.get("maxKb", 1024)) * 1024
        parts = [OFFSET.pack(len(partition.records)), OFFSET.pack(partition.first)]
        for record in partition.records[start:]:
            limit -= len(record)
            if limit < 0 and len(parts) > 2:
                break
            parts.append(LENGTH.pack(len(record)) + record)
        exchange.respond(200, [], b"".join(parts))

    def _newest(self, exchange: Exchange, query: dict[str, str]) -> None:
        partition = self.state.partition(query["topic"], int(query["part"]))
        after = query.get("after", "")
        rows = [(k, v) for k, v in partition.newest().items() if k > after]
        items = [
            {"key": k, "value": base64.b64encode(value).decode(), "offset": offset}
            for k, (offset, value) in rows[:PAGE_ITEMS]
        ]
        has_more = len(rows) > PAGE_ITEMS
        end = len(partition.records)
        _respond(exchange, 200, {"items": items, "hasMore": has_more, "end": end})


def _respond(exchange: Exchange, status: int, body: dict[str, Any]) -> None:
    headers = [(b"Content-Type", b"application/json")]
    exchange.respond(status, headers, msgspec.json.encode(body))


def _split(body: bytes) -> list[bytes]:
    records, at = [], 0
    while at < len(body):
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        records.append(body[at : at + length])
        at += length
    return records
