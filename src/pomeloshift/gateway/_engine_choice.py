"""Chooses the engine of an online request, and judges whether it starts in time."""

import math

import attrs

from ..dispatch import AttemptPlan, Engine, Route, RouteKind, SoftwareVersion
from ..http1 import Exchange
from ..platform import CallerRequest
from ._engine_access import EngineAccess
from ._events import EventLog
from ._stream_log import StreamLog
from ._timing import MAX_RESUME_WAIT_S


@attrs.define
class EngineChoice:
    """The choices of an engine for the attempts of one request.

    ``wait_s`` is the expected wait for a slot of the last choice that was in time, in
    seconds.
    """

    access: EngineAccess
    streams: StreamLog
    events: EventLog
    exchange: Exchange
    req: CallerRequest
    route: Route
    plan: AttemptPlan
    wait_s: float = 0.0
    _tokens: int | None = None

    @property
    def tokens(self) -> int:
        """The tokens that the request takes at an engine, also if it states none."""
        if self._tokens is None:
            memory = self.access.capacity.memory
            if self.req.tokens is not None:
                memory.note_request(self.req.tokens, is_batch=False)
            self._tokens = memory.usual_tokens(self.req.tokens, is_batch=False)
        return self._tokens

    @property
    def is_take_up(self) -> bool:
        """Whether the caller takes up a stream that an earlier request began."""
        is_stream = self.route.kind is RouteKind.STREAMING
        return is_stream and self.req.resumes is not None

    def pick_engines(self, software: SoftwareVersion | None) -> list[Engine]:
        """Returns the engines of a service of the route that can still be tried.

        ``software`` is the version that began the request's stream, None before.
        """
        if software is not None:
            engines = self._engines_of(software)
        else:
            service = self.route.pick_service(self.access.random.random())
            engines = self.access.fleet.of(service) if service is not None else []
            engines = self.streams.usable(engines)
        return [e for e in engines if e.record.id not in self.plan.excluded]

    def _engines_of(self, software: SoftwareVersion) -> list[Engine]:
        """Returns the engines at which a stream that this version began can go on."""
        engines = []
        if software.service in self.route.services:
            engines = self.access.fleet.of(software.service)
        engines = [e for e in engines if e.record.software == software]
        if not engines:
            self.events.warn(
                "version_unavailable",
                id=self.req.id,
                resumes=self.req.resumes,
                service=software.service,
                version=software.version,
            )
        return engines

    def choose(self, engines: list[Engine], now: float) -> Engine | None:
        """Returns the engine with the least cost whose limit allows the request."""
        open_engines = [e for e in engines if self.access.limit_wait_s(e) <= 0]
        with_room = [e for e in open_engines if self._has_room(e)]
        return self.access.placement.choose(with_room, now)

    def _has_room(self, engine: Engine) -> bool:
        return self.access.capacity.memory.has_room(engine, self.tokens)

    def limit_wait_s(self, engines: list[Engine]) -> float:
        """Returns the seconds until the limit of an engine allows the request."""
        waits_s = (self.access.limit_wait_s(engine) for engine in engines)
        return min(waits_s, default=math.inf)

    @property
    def _is_resume(self) -> bool:
        """Whether an engine would go on with a stream that has begun."""
        return self.plan.may_have_run or self.is_take_up

    def may_wait(self, engines: list[Engine], now: float) -> bool:
        """Whether an engine's limit allows the request before it is too late.

        That is the latency objective; a request that may have run has until its caller
        would give up on it. A new request does not wait for an engine's memory.
        """
        if not self._is_resume and not any(map(self._has_room, engines)):
            if engines:
                self.events.info("memory_full", id=self.req.id, tokens=self.tokens)
            return False
        wait_s = self.limit_wait_s(engines)
        elapsed_s = now - self.exchange.arrived_at
        if self._is_resume:
            can_wait = wait_s <= MAX_RESUME_WAIT_S and now + wait_s < self.plan.deadline
        else:
            start_s = self.access.admission.start_delay_s
            can_wait = elapsed_s + wait_s + start_s <= self.route.objective_s
        if not can_wait and wait_s < math.inf:
            self.events.info(
                "limits_reached",
                id=self.req.id,
                wait_s=wait_s,
                elapsed_s=elapsed_s,
                runs=self.plan.runs,
            )
        return can_wait

    def would_be_late(self, engine: Engine, now: float) -> bool:
        """Whether the request would start too late to be sent.

        A late request would lengthen the queue and make later requests late too. A
        request that may have run is always sent. So is a stream that is taken up,
        unless its caller would give up first: most of it may have been delivered.
        """
        if self.plan.may_have_run:
            return False
        wait_s = self.access.placement.expected_wait(engine, now)
        start_s = self.access.placement.expected_start(engine, now)
        elapsed_s = now - self.exchange.arrived_at
        if self.is_take_up and elapsed_s + wait_s <= MAX_RESUME_WAIT_S:
            return False
        # Refused callers that are due to retry count only against a request that waits.
        interval_s = 0.0
        if wait_s > 0:
            interval_s = self.access.slot_interval_s(engine.record.service)
        if self.access.admission.allows(
            self.route,
            self.req.deadline_s,
            elapsed_s,
            wait_s,
            interval_s,
            now,
            start_s,
        ):
            self.wait_s = wait_s
            return False
        if start_s is None:
            start_s = self.access.admission.start_delay_s
        self.events.info(
            "would_be_late",
            id=self.req.id,
            engine=engine.record.id,
            wait_s=wait_s,
            start_s=start_s,
            interval_s=interval_s,
            returning=self.access.admission.count_due(now, self.route),
            deadline_s=self.req.deadline_s,
            online=engine.online_occupancy(now),
            load_age_s=engine.load_age(now),
        )
        return True
