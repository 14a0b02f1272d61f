"""Sends requests to engines and counts them in the fleet."""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from ..dispatch import (
    Engine,
    EngineReport,
    Fleet,
    OnlineAdmission,
    Placement,
    RetryAfter,
)
from ..errors import PomeloshiftError
from ..http1 import (
    Call,
    Chunk,
    Client,
    ConnectionPool,
    Disconnected,
    Headers,
    RequestHead,
    ResponseEnd,
    ResponseHead,
)
from ..platform import (
    decode_limit_header,
    decode_load_header,
    decode_report,
    is_stamped,
    proves_not_run,
    report_request,
    says_leaving,
)
from ._engine_capacity import LearnedCapacity
from ._events import EventLog
from ._sleep import sleep
from ._timing import AVOID_FAILED_S, AVOID_FULL_S, MAX_REPORT_BYTES, PROBE_TIMEOUT_S

# The status of an engine at whose address a request for another one arrived.
MISDIRECTED = 421


class EngineRun:
    """One request that runs at one engine, and its response."""

    def __init__(
        self,
        access: "EngineAccess",
        engine: Engine,
        call: Call,
        is_batch: bool,
        tokens: int = 0,
    ) -> None:
        self.engine = engine
        self._access = access
        self._call = call
        self._is_batch = is_batch
        self._sent_at = access.now()
        self._is_counted = True
        # A batch item's tokens were counted when it was chosen.
        self._tokens = tokens
        engine.tokens += tokens
        self._measured = access.capacity.begin(engine, self._sent_at, is_batch)
        self._key = engine.begin(self._sent_at, is_batch)

    @property
    def expected_s(self) -> float | None:
        """The expected time to the first event, None where it is not learned."""
        return self._measured.expected_s if self._measured is not None else None

    async def next(
        self, timeout_s: float
    ) -> ResponseHead | Chunk | ResponseEnd | Disconnected:
        """Returns the next event of the response.

        Raises `CallTimeoutError` after ``timeout_s`` without one.
        """
        event = self._call.next_ready() or await self._call.next(timeout_s)
        if isinstance(event, ResponseHead):
            self.engine.on_bytes(self._key, self._access.now())
            self._access.note_head(self.engine, event, self._sent_at)
            if self._measured is not None:
                self._measured.note_head(event)
        elif isinstance(event, Chunk):
            now = self.engine.last_byte_at = self._access.now()
            if self._measured is not None:
                self._measured.note_data(event.data, now)
        else:
            if self._measured is not None and isinstance(event, ResponseEnd):
                self._measured.complete()
            self._end()
        return event

    def pause(self, is_paused: bool) -> None:
        """Pauses or resumes reading from the engine."""
        if self._measured is not None:
            self._measured.is_paused = is_paused
        if is_paused:
            self._call.pause()
        else:
            self._call.resume()

    def close(self) -> None:
        """Ends the run if it has not ended; the engine then cancels the request."""
        self._call.abort()
        self._end()

    def _end(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.engine.end(self._key, self._is_batch)
            self.engine.tokens -= self._tokens
            if self._measured is not None:
                self._measured.end()


@attrs.define
class EngineAccess:
    """The state that all requests to engines share."""

    fleet: Fleet
    placement: Placement
    retry_after: RetryAfter
    admission: OnlineAdmission
    count_gateways: Callable[[], int]
    rank_at: Callable[[Engine], int]
    pool: ConnectionPool
    client: Client
    random: Random
    events: EventLog
    _clock: Any
    _reactor: Any
    capacity: LearnedCapacity

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return float(self._clock.monotonic())

    def call_later(self, delay_s: float, function: Any, *args: Any) -> None:
        """Calls a function after ``delay_s`` seconds."""
        self._reactor.callLater(delay_s, function, *args)

    def slot_interval_s(self, service: str) -> float:
        """Returns the mean time between slots that become free for this gateway."""
        slots = sum(engine.slots for engine in self.fleet.of(service))
        hold_s = self.placement.hold_s(service)
        return hold_s * self.count_gateways() / max(1, slots)

    async def send(
        self,
        engine: Engine,
        head: RequestHead,
        body: bytes,
        is_batch: bool,
        tokens: int = 0,
    ) -> EngineRun:
        """Sends a request; raises `ConnectError` if nothing was sent.

        A batch item was already charged to the engine's limit when it was chosen.
        """
        if not is_batch:
            self.charge_limit(engine)
        address = engine.record.address
        call = await self.pool.send(address, head, body, report_request(address))
        return EngineRun(self, engine, call, is_batch, tokens)

    def limit_wait_s(self, engine: Engine) -> float:
        """Returns the seconds until the engine's limit allows a request."""
        if engine.limit is None:
            return 0.0
        return engine.limit.wait_s(self.rank_at(engine), self.now())

    def charge_limit(self, engine: Engine) -> None:
        """Records that a request is sent to an engine, if it names a limit."""
        if engine.limit is not None:
            engine.limit.charge(self.now())

    async def sleep(self, delay_s: float) -> None:
        """Waits for ``delay_s`` seconds."""
        await sleep(self._reactor, delay_s)

    def note_head(self, engine: Engine, head: ResponseHead, sent_at: float) -> None:
        """Updates an engine's state from a response's headers.

        That is its load, its limit, and whether it is leaving. ``sent_at`` is when the
        request was sent. A rejection without a limit does not end one.
        """
        now = self.now()
        load = decode_load_header(head.headers)
        if load is not None:
            engine.note_load(load, now)
            self.capacity.note_load(engine, load, now)
        if head.status == MISDIRECTED or not (is_stamped(head) or proves_not_run(head)):
            # Of another engine at the same address, or of none.
            return
        self._note_leaving(engine, head.headers)
        rate = decode_limit_header(head.headers)
        has_changed = False
        if rate is not None:
            has_changed = engine.note_limit(rate, now, now)
        elif is_stamped(head):
            has_changed = engine.note_unlimited(sent_at, now)
        if has_changed:
            self.note_limit_changed(engine)

    def _note_leaving(self, engine: Engine, headers: Headers) -> None:
        if says_leaving(headers) and self.fleet.note_leaving(engine):
            self.events.info(
                "engine_leaving",
                engine=engine.record.id,
                incarnation=engine.record.incarnation,
            )

    def note_limit_changed(self, engine: Engine, peer: str = "") -> None:
        """Logs that an engine names another limit; ``peer`` is who reported it."""
        rate = engine.limit.rate if engine.limit is not None else None
        self.events.info(
            "engine_limit_changed", engine=engine.record.id, rate=rate, peer=peer
        )

    def note_full(self, engine: Engine) -> None:
        """Avoids an engine that rejected a request, for `AVOID_FULL_S`."""
        self._avoid(engine, AVOID_FULL_S)

    def note_replaced(self, engine: Engine) -> None:
        """Avoids an engine at whose address another one responded."""
        # Its record stays in the list until it has missed several heartbeats.
        self._avoid(engine, AVOID_FAILED_S)

    def note_failed(self, engine: Engine, why: str, request_id: str) -> None:
        """Avoids an engine that failed, for `AVOID_FAILED_S`, and logs the failure."""
        self._avoid(engine, AVOID_FAILED_S)
        self.events.warn(
            "engine_failed", engine=engine.record.id, id=request_id, why=why
        )

    def _avoid(self, engine: Engine, for_s: float) -> None:
        engine.avoided_until = max(engine.avoided_until, self.now() + for_s)

    async def probe(self, engine: Engine) -> None:
        """Asks an engine for its load and records it."""
        await self._report(engine)

    async def is_current(self, engine: Engine) -> bool:
        """Returns whether an engine runs and is the one that its record describes.

        An engine that starts again under its id may run another version of its
        software, and its new record can be late.
        """
        if not await self.identify(engine):
            return False
        if engine.incarnation == engine.record.incarnation:
            return True
        self.note_replaced(engine)
        return False

    async def identify(self, engine: Engine) -> bool:
        """Asks an engine which incarnation it is; returns whether it can be used.

        Its crash then counts under that incarnation, although its record is late.
        """
        report = await self._report(engine)
        if report is None:
            return False
        if report.incarnation != engine.incarnation:
            self.events.info(
                "engine_replaced",
                engine=engine.record.id,
                incarnation=report.incarnation,
                known=engine.incarnation,
            )
        engine.note_reported(report.incarnation)
        return engine.is_serving

    async def _report(self, engine: Engine) -> EngineReport | None:
        """Asks an engine for its report and records its load."""
        address = engine.record.address
        head = report_request(address)
        try:
            resp = await self.client.call(
                address, head, b"", PROBE_TIMEOUT_S, MAX_REPORT_BYTES
            )
            report = decode_report(resp.body, engine.slots)
        except PomeloshiftError as exc:
            self.note_failed(engine, f"report: {exc.message}", "")
            return None
        engine.note_load(report.load, self.now())
        if report.incarnation == engine.incarnation:
            self._note_leaving(engine, resp.headers)
        return report
