"""Sends requests to engines and keeps the fleet's counts."""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from ..dispatch import Engine, Fleet, OnlineAdmission, Placement, RetryAfter
from ..errors import PomeloshiftError
from ..http1 import (
    Call,
    Chunk,
    Client,
    ConnectionPool,
    Disconnected,
    RequestHead,
    ResponseEnd,
    ResponseHead,
)
from ..platform import decode_report, load_in, report_request
from ._events import EventLog
from ._timing import AVOID_FAILED_S, AVOID_FULL_S, PROBE_TIMEOUT_S


class EngineRun:
    """One request at one engine."""

    def __init__(
        self, access: "EngineAccess", engine: Engine, call: Call, is_batch: bool
    ) -> None:
        self.engine = engine
        self._access = access
        self._call = call
        self._is_batch = is_batch
        self._key = engine.begin(access.now(), is_batch)
        self._is_counted = True

    async def next(
        self, timeout_s: float
    ) -> ResponseHead | Chunk | ResponseEnd | Disconnected:
        """Returns the next event of the answer; raises `CallTimeoutError`."""
        event = self._call.next_ready() or await self._call.next(timeout_s)
        if isinstance(event, ResponseHead):
            self.engine.on_bytes(self._key, self._access.now())
            self._access.note_head(self.engine, event)
        elif isinstance(event, Chunk):
            self.engine.last_byte_at = self._access.now()
        else:
            self._end()
        return event

    def pause(self, is_paused: bool) -> None:
        """Stops or goes on reading from the engine."""
        if is_paused:
            self._call.pause()
        else:
            self._call.resume()

    def close(self) -> None:
        """Ends the run if it has not ended; the engine then drops the request."""
        self._call.abort()
        self._end()

    def _end(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.engine.end(self._key, self._is_batch)


@attrs.define
class EngineAccess:
    """What all requests share on their way to engines."""

    fleet: Fleet
    placement: Placement
    retry_after: RetryAfter
    admission: OnlineAdmission
    count_gateways: Callable[[], int]
    pool: ConnectionPool
    client: Client
    random: Random
    events: EventLog
    _clock: Any
    _reactor: Any

    def now(self) -> float:
        """Returns the monotonic time."""
        return float(self._clock.monotonic())

    def call_later(self, delay_s: float, function: Any, *args: Any) -> None:
        """Calls a function after a delay."""
        self._reactor.callLater(delay_s, function, *args)

    def slot_interval_s(self, service: str) -> float:
        """Returns the time between places that come free for this entry's callers."""
        slots = sum(engine.slots for engine in self.fleet.of(service))
        hold_s = self.placement.hold_s(service)
        return hold_s * self.count_gateways() / max(1, slots)

    async def send(
        self, engine: Engine, head: RequestHead, body: bytes, is_batch: bool
    ) -> EngineRun:
        """Sends a request; raises `ConnectError` if nothing was sent."""
        call = await self.pool.send(engine.record.address, head, body)
        return EngineRun(self, engine, call, is_batch)

    def note_head(self, engine: Engine, head: ResponseHead) -> None:
        """Takes the load that an answer tells."""
        load = load_in(head.headers)
        if load is not None:
            engine.note_load(load, self.now())

    def note_full(self, engine: Engine) -> None:
        """Avoids an engine that refused a request, for a short while."""
        engine.avoided_until = max(engine.avoided_until, self.now() + AVOID_FULL_S)

    def note_failed(self, engine: Engine, why: str, request_id: str) -> None:
        """Avoids an engine that could not be reached or broke off."""
        engine.avoided_until = max(engine.avoided_until, self.now() + AVOID_FAILED_S)
        self.events.warn(
            "engine_failed", engine=engine.record.id, id=request_id, why=why
        )

    async def probe(self, engine: Engine) -> None:
        """Asks an engine for its load."""
        address = engine.record.address
        head = report_request(address)
        try:
            resp = await self.client.call(address, head, b"", PROBE_TIMEOUT_S)
            load = decode_report(resp.body, engine.slots)
        except PomeloshiftError as exc:
            self.note_failed(engine, f"report: {exc.message}", "")
            return
        engine.note_load(load, self.now())
