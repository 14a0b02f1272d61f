"""Runs one online request."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import CancelledError

from ..dispatch import (
    AttemptPlan,
    CrashKeys,
    Engine,
    OversizedEventError,
    Route,
    ServingConfig,
    SoftwareVersion,
    Step,
    WatchedRun,
    is_part,
)
from ..http1 import (
    CallTimeoutError,
    Chunk,
    ConnectError,
    Disconnected,
    Exchange,
    ResponseEnd,
    ResponseHead,
)
from ..platform import CallerRequest, is_stamped, proves_not_run, to_engine
from ..workspaces import Caller
from ._crash_log import CrashLog
from ._engine_access import EngineAccess, EngineRun
from ._engine_choice import EngineChoice
from ._events import EventLog
from ._online_failure import FailureReply
from ._response_relay import ResponseRelay
from ._stream_log import StreamLog
from ._timing import (
    FIRST_EVENT_OBJECTIVES,
    MIN_WAIT_S,
    STALL_GAPS,
    STALL_S,
)
from ._workspace_rates import Allowance

# Statuses which guarantee to the caller that a request has not run. A response of an
# engine with one of them is never relayed: with the engine's proof the attempt counts
# as not run, without it as failed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# A response that its connection ends was cut if it stops within an event.
CUT = Disconnected("ended in the middle of an event", by_server=True)


@attrs.define
class OnlineRequest:
    """One request from its arrival to its response.

    ``software`` is the version that began the request's stream, None before it began:
    the stream goes on only there. No attempt is sent while ``may_send`` is false.
    """

    access: EngineAccess
    crashes: CrashLog
    streams: StreamLog
    events: EventLog
    exchange: Exchange
    req: CallerRequest
    route: Route
    config: ServingConfig
    plan: AttemptPlan
    relay: ResponseRelay
    keys: CrashKeys
    allowance: Allowance
    software: SoftwareVersion | None = None
    caller: Caller = Caller()
    may_send: Callable[[], bool] = lambda: True
    _run: EngineRun | None = None
    _watched: WatchedRun | None = None
    _choice: EngineChoice = attrs.field(init=False)
    _sent_at: float = 0.0
    _is_done: bool = False

    @_choice.default
    def _new_choice(self) -> EngineChoice:
        return EngineChoice(
            self.access,
            self.streams,
            self.events,
            self.exchange,
            self.req,
            self.route,
            self.plan,
        )

    async def serve(self) -> None:
        """Runs the request, with retries, and responds to the caller."""
        try:
            if self._choice.is_take_up and not await self._find_version():
                self._fail()
            while not self._is_done:
                await self._step()
        finally:
            if self._run is not None:
                self._run.close()

    async def _find_version(self) -> bool:
        """Determines where a stream that is taken up goes on; returns False if unknown.

        It is better refused than joined from two versions.
        """
        services = self.route.services
        self.software = await self.streams.find(self.req.resumes or "", services)
        if self.software is None:
            self.events.warn(
                "stream_unknown",
                id=self.req.id,
                resumes=self.req.resumes,
                versions=",".join(
                    sorted(one.version for one in self.streams.counting(services))
                ),
            )
        return self.software is not None

    async def _step(self) -> None:
        now = self.access.now()
        if self.crashes.is_quarantined(self.keys) and not self._may_try():
            self._stop_quarantined()
        if self.plan.next_step(now) is not Step.TRY or not self.relay.can_resume:
            self._fail()
            return
        choice = self._choice
        engines = choice.pick_engines(self.software)
        engine = choice.choose(engines, now)
        if engine is None and choice.may_wait(engines, now):
            await self.access.sleep(max(MIN_WAIT_S, choice.limit_wait_s(engines)))
            return
        if engine is None or choice.would_be_late(engine, now):
            self._fail()
            return
        if not await self._is_usable(engine):
            self.plan.record_unreachable(engine.record.id)
            return
        if not self.may_send():
            self._fail()
            return
        if not self.allowance.take(self.exchange, self.req):
            self._is_done = True
            return
        is_trial = self.crashes.is_quarantined(self.keys)
        if is_trial and not self._take_trial():
            return
        await self._attempt(engine, is_trial)

    def _may_try(self) -> bool:
        return not self.plan.may_have_run and self.crashes.may_try(self.keys)

    def _take_trial(self) -> bool:
        """Returns whether the request may be sent once although it is quarantined."""
        if not self._may_try() or not self.crashes.take_trial(self.keys):
            return False
        for key in self.crashes.blocking(self.keys):
            self.events.info("quarantine_trial", id=self.req.id, **_key_field(key))
        return True

    async def _is_usable(self, engine: Engine) -> bool:
        """Whether an engine can be used, after asking it if its record may be old.

        A stream goes on only at its version. A crash of an incarnation that is not
        known yet would count as that of an earlier one.
        """
        if self.software is not None:
            return await self.access.is_current(engine)
        return not engine.may_have_restarted or await self.access.identify(engine)

    def _stop_quarantined(self) -> None:
        self.plan.is_stopped = True
        for key in self.crashes.blocking(self.keys):
            self.events.warn(
                "request_quarantined",
                id=self.req.id,
                **_key_field(key),
                crashes=self.crashes.count_crashes(key),
                remaining_s=self.crashes.quarantined_for(self.keys),
                runs=self.plan.runs,
            )

    async def _attempt(self, engine: Engine, is_trial: bool) -> None:
        engine_id = engine.record.id
        remaining_s = self.plan.deadline - self.access.now()
        head = to_engine(
            self.exchange.head,
            engine_id,
            remaining_s,
            self.relay.resume_from,
            self.caller.name,
        )
        try:
            run = await self.access.send(
                engine, head, self.exchange.body, False, self._choice.tokens
            )
        except ConnectError as exc:
            self.plan.record_unreachable(engine_id)
            self.access.note_failed(engine, exc.message, self.req.id)
            if is_trial:
                self.crashes.return_trial(self.keys)
            return
        self._run = run
        self._watched = self.crashes.watch(self.keys, engine, self.req.id, is_trial)
        self._sent_at = self.access.now()
        self.plan.record_sent()
        self.events.info(
            "attempt_sent",
            id=self.req.id,
            engine=engine_id,
            version=engine.record.version,
            run=self.plan.runs,
            remaining_s=remaining_s,
            occupancy=engine.occupancy(self.access.now()),
            expected_s=run.expected_s,
            load_age_s=engine.load_age(self.access.now()),
            resume_from=self.relay.resume_from,
            resumes=self.req.resumes,
            parts=",".join(self.req.parts),
        )
        self.exchange.on_pause = run.pause
        self.relay.begin_run()
        try:
            await self._receive(run)
        except CallTimeoutError:
            self._note_failure(engine, "silent")
            self._note_given_up(is_silent=True)
        except OversizedEventError as exc:
            self._note_failure(engine, exc.message)
        except CancelledError:
            self._note_given_up(is_silent=False)
            raise
        finally:
            run.close()
            self.crashes.unwatch(self._watched)
            self._run = self._watched = None

    async def _receive(self, run: EngineRun) -> None:
        engine = run.engine
        event = await self._next(run)
        if isinstance(event, Disconnected):
            self._note_disconnected(engine, event)
            return
        head: Any = event
        if proves_not_run(head):
            self.plan.record_not_run(engine.record.id)
            self.access.note_full(engine)
            self.events.info(
                "attempt_refused",
                id=self.req.id,
                engine=engine.record.id,
                status=head.status,
                runs=self.plan.runs,
            )
            return
        if not is_stamped(head) or head.status in NOT_RUN_STATUSES:
            self._note_failure(engine, f"unusable response, status {head.status}")
            return
        if head.status >= 500 and self._may_retry():
            self._note_failure(engine, f"response status {head.status}")
            return
        if not self.relay.take_head(head):
            why = f"response status {head.status} {head.media_type} to a resumed stream"
            self._note_failure(engine, why)
            return
        while True:
            event = await self._next(run)
            if isinstance(event, ResponseEnd):
                if self.relay.finish():
                    self._note_answered(engine, head.status)
                elif head.is_framed:
                    self._note_failure(engine, "ended in the middle of an event")
                    self._note_given_up(is_silent=False)
                else:
                    self._note_disconnected(engine, CUT)
                return
            if isinstance(event, Disconnected):
                self._note_disconnected(engine, event)
                return
            in_order = self.relay.take_data(event.data)  # type: ignore[union-attr]
            self._note_begun(engine)
            if self.relay.shows_run and self._watched is not None:
                self._watched.note_event(self.relay.progressed_at)
            if not in_order:
                self._note_failure(engine, "events out of order or malformed")
                return

    def _note_begun(self, engine: Engine) -> None:
        """Binds a stream to the version that has sent its first event."""
        is_resumable = self.route.is_resumable and self.relay.has_begun
        if self.software is None and is_resumable:
            self.software = engine.record.software
            self.streams.note_begun(self.req.id, self.software)

    async def _next(
        self, run: EngineRun
    ) -> ResponseHead | Chunk | ResponseEnd | Disconnected:
        """Returns the next event.

        After the time-out it waits on, until the deadline, if no other engine is left.
        Raises `CallTimeoutError` if the request can be retried on another engine, or
        at the request's deadline.
        """
        try:
            return await self._next_in_time(run)
        except CallTimeoutError:
            if self._has_alternative(run.engine):
                raise
        return await run.next(max(0.0, self.plan.deadline - self.access.now()))

    async def _next_in_time(
        self, run: EngineRun
    ) -> ResponseHead | Chunk | ResponseEnd | Disconnected:
        """Returns the next event, or raises `CallTimeoutError` after the time-out.

        The engine is not to blame for the time in which its caller reads too slowly.
        """
        while True:
            try:
                return await run.next(self._read_timeout_s())
            except CallTimeoutError:
                now = self.access.now()
                if not self.exchange.is_paused or now >= self.plan.deadline:
                    raise
                self.relay.progressed_at = now

    def _has_alternative(self, engine: Engine) -> bool:
        now = self.access.now()
        excluded = self.plan.excluded | {engine.record.id}
        others = self.access.fleet.of(engine.record.service)
        return any(
            other.record.id not in excluded
            and self.access.placement.is_healthy(other, now)
            and self.access.limit_wait_s(other) <= 0
            and self.software in (None, other.record.software)
            for other in others
        )

    def _may_retry(self) -> bool:
        return self.plan.is_repeatable and self.plan.runs < self.plan.max_runs

    def _read_timeout_s(self) -> float:
        """Returns how long to wait for the engine's next bytes, in seconds.

        Bytes that the caller cannot use do not extend the time.
        """
        now = self.access.now()
        remaining_s = self.plan.deadline - now
        if not self._may_retry():
            return remaining_s
        limit_s = FIRST_EVENT_OBJECTIVES * self.route.objective_s
        if self.relay.has_begun:
            limit_s = max(STALL_S, STALL_GAPS * self.route.event_gap_s)
        return min(remaining_s, self.relay.progressed_at + limit_s - now)

    def _note_failure(self, engine: Engine, why: str) -> None:
        self.plan.record_failure(engine.record.id)
        self.access.note_failed(engine, why, self.req.id)

    def _note_disconnected(self, engine: Engine, event: Disconnected) -> None:
        self._note_failure(engine, event.reason)
        if event.by_server and self._watched is not None:
            self.crashes.note_run_crashed(self._watched)

    def _note_given_up(self, is_silent: bool) -> None:
        if self._watched is not None:
            self.crashes.note_run_given_up(self._watched, is_silent)

    def _note_answered(self, engine: Engine, status: int) -> None:
        self._is_done = True
        if self.relay.shows_run:
            self.crashes.note_answered(self.keys, self.req.id)
        took_s = self.access.now() - self.exchange.arrived_at
        self.events.metrics.observe_response(
            self.route.name, status, self.relay.first_event_s, took_s
        )
        if (
            self.plan.runs == 1
            and self._choice.wait_s > 0
            and self.relay.first_event_s > 0
        ):
            first_at = self.exchange.arrived_at + self.relay.first_event_s
            self.access.admission.note_start(
                self._choice.wait_s, first_at - self._sent_at
            )
        if self.relay.stream_s > 0:
            self.access.placement.note_hold(engine.record.service, self.relay.stream_s)
        self.events.info(
            "request_answered",
            id=self.req.id,
            route=self.route.name,
            version=self.config.version,
            engine=engine.record.id,
            status=status,
            runs=self.plan.runs,
            first_s=self.relay.first_event_s,
            took_s=took_s,
        )

    def _fail(self) -> None:
        self._is_done = True
        now = self.access.now()
        status = self.plan.failure_status(now)
        took_s = now - self.exchange.arrived_at
        self.events.metrics.observe_response(self.route.name, status, 0.0, took_s)
        self.events.warn(
            "request_failed",
            id=self.req.id,
            route=self.route.name,
            version=self.config.version,
            status=status,
            runs=self.plan.runs,
            refused_by=len(self.plan.refused_by),
            failed_at=",".join(sorted(self.plan.failed_at)),
            is_started=self.relay.has_begun,
            took_s=took_s,
            may_send=self.may_send(),
        )
        if self.relay.has_begun:
            self.exchange.abort()
            return
        is_local = self._choice.is_take_up or not self.may_send()
        FailureReply(
            self.access, self.crashes, self.exchange, self.req, self.route, self.keys
        ).send(status, self.plan.is_stopped, is_local, now)


def _key_field(key: str) -> dict[str, str]:
    return {"part" if is_part(key) else "fingerprint": key}
