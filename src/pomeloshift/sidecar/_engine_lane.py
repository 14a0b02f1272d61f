"""Carries admission's effects to one engine and the engine's tokens back."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from loguru import logger
from twisted.internet.defer import Deferred

from ..admission import (
    Admission,
    AdmissionEffect,
    AdmissionEvent,
    PreemptStream,
    PullBatch,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    Tick,
    TokensArrived,
    admission_config,
)
from ..config import ServiceConfig
from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran
from ..model import LoadReport
from ..net import Clock
from ..net._periodic_tasks import spawn
from ._engine_client import EngineClient
from ._engine_errors import EngineLostError, EngineRefusedError
from ._engine_health import EngineHealth
from ._engine_types import EngineEnd
from ._stream_run import StreamRun
from ._work import Work


class BatchSource(Protocol):
    """Where a lane asks for batch work."""

    def want(self, lane: "EngineLane", tokens: int, items: int) -> None:
        """Notes that the lane has room for batch work."""


class EngineLane:
    """The streams of one engine.

    Every stream that the engine runs was started by this object on admission's
    word, and every token of a stream is told to admission.
    """

    def __init__(
        self,
        name: str,
        engine: EngineClient,
        admission: Admission,
        batch: BatchSource,
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]],
        on_state: Callable[[], None] = lambda: None,
        incarnation: int = 0,
    ) -> None:
        self.name = name
        self._engine = engine
        self._admission = admission
        self._batch = batch
        self._clock = clock
        self._health = EngineHealth(name, incarnation, engine, sleep, on_state)
        self._runs: dict[str, StreamRun] = {}

    @property
    def is_down(self) -> bool:
        """Whether the engine was lost and has not answered since."""
        return self._health.is_down

    @property
    def is_idle(self) -> bool:
        """Whether no stream is known."""
        return not self._runs

    def load(self) -> LoadReport:
        """Returns the lane's load."""
        return self._admission.load(self._clock.monotonic())

    async def check(self) -> None:
        """Asks whether the engine answers."""
        await self._health.check()

    async def close(self) -> None:
        """Closes the connections to the engine."""
        self._health.close()
        await self._engine.close()

    def configure(self, service: ServiceConfig) -> None:
        """Applies the targets and the batch weight of a newer configuration."""
        self._admission.reconfigure(admission_config(service))

    def offer(self, work: Work, resume: bytes = b"") -> None:
        """Takes new work; admission decides when it runs."""
        self._runs[work.stream_id] = StreamRun(work, resume)
        self._tell(work.offer(self._clock.monotonic()))

    def withdraw(self, stream_id: str) -> None:
        """Stops a stream whose result nobody wants any more."""
        run = self._runs.pop(stream_id, None)
        if run is None:
            return
        run.withdrawn = True
        if run.at_engine:
            self._cancel(run)
        self._tell(StreamEnded(stream_id))

    def tick(self) -> None:
        """Tells admission that time passed."""
        self._tell(Tick())

    def release_batch(self) -> list[str]:
        """Gives all batch work back and returns the stream ids."""
        batch = [run for run in self._runs.values() if run.work.is_batch]
        for run in batch:
            spawn(self._release(run))
        return [run.work.stream_id for run in batch]

    def _tell(self, event: AdmissionEvent) -> None:
        for effect in self._admission.handle(event, self._clock.monotonic()):
            self._carry_out(effect)

    def _carry_out(self, effect: AdmissionEffect) -> None:
        if isinstance(effect, PullBatch):
            if self._health.is_down:
                return
            self._batch.want(self, effect.tokens, effect.items)
            return
        run = self._runs.get(effect.stream_id)
        if run is None:
            return
        match effect:
            case StartStream():
                spawn(self._run(run))
            case ResumeStream():
                self._resume(run)
            case PreemptStream():
                run.preempted = True
                run.resume_wanted = False
                self._cancel(run)
            case ReleaseStream():
                spawn(self._release(run))
            case ShedStream():
                del self._runs[run.work.stream_id]
                run.work.fail(effect.error)

    async def _run(self, run: StreamRun) -> None:
        """Runs a stream to its end, with every taking back and resuming between."""
        if self._health.is_down:
            self._turn_away(run)
            return
        run.at_engine = True
        while run.at_engine:
            end = await self._run_once(run)
            if run.withdrawn:
                run.at_engine = False
            elif isinstance(end, EngineEnd) and end.whole:
                self._end(run)
                run.work.finish(end.status, end.content_type)
            elif run.preempted:
                await self._park(run, isinstance(end, EngineEnd))
            elif isinstance(end, EngineEnd):
                self._end(run)
                run.work.fail(_cut_error())
            else:
                self._take_failure(run, end)
        if run.stopped is not None:
            run.stopped.callback(None)

    def _take_failure(self, run: StreamRun, error: PomeloshiftError) -> None:
        run.at_engine = False
        if isinstance(error, EngineRefusedError) and error.status == 0:
            self._health.mark_down()
            self._turn_away(run)
            return
        report = error.report()
        if isinstance(error, EngineLostError):
            self._health.mark_down()
            report = attrs.evolve(report, incident=self._health.incident)
        self._end(run)
        run.work.fail(report)

    def _turn_away(self, run: StreamRun) -> None:
        """Ends a stream that an engine which is down has not seen."""
        if self._runs.pop(run.work.stream_id, None) is None:
            return
        self._tell(StreamEnded(run.work.stream_id))
        if run.work.is_batch:
            run.work.release(run.resume)
        else:
            run.work.fail(_down_error())

    async def _run_once(self, run: StreamRun) -> EngineEnd | PomeloshiftError:
        stream_id = run.work.stream_id
        run.preempted = False
        run.cancelled = None

        def on_chunk(payload: bytes, tokens: int) -> None:
            if run.withdrawn:
                return
            run.work.take(payload, tokens)
            if tokens:
                self._tell(TokensArrived(stream_id, tokens))

        try:
            return await self._engine.run(
                stream_id, run.work.path, run.work.body, on_chunk, run.resume
            )
        except PomeloshiftError as exc:
            return exc

    async def _park(self, run: StreamRun, was_closed_cleanly: bool) -> None:
        """Keeps the progress of a stream that was taken back.

        The engine closes a stream only after every token that its resume token
        covers; after a broken connection the stream has to begin anew.
        """
        token = b"" if run.cancelled is None else await run.cancelled
        run.resume = token if was_closed_cleanly else b""
        if not run.resume:
            run.work.restart()
        run.at_engine = run.resume_wanted and not run.withdrawn

    def _resume(self, run: StreamRun) -> None:
        if run.at_engine:
            run.resume_wanted = not run.releasing
        elif not run.releasing:
            spawn(self._run(run))

    def _end(self, run: StreamRun) -> None:
        run.at_engine = False
        self._runs.pop(run.work.stream_id, None)
        self._tell(StreamEnded(run.work.stream_id))

    async def _release(self, run: StreamRun) -> None:
        run.releasing = True
        run.preempted = True
        run.resume_wanted = False
        if run.at_engine:
            self._cancel(run)
            run.stopped = Deferred()
            await run.stopped
        if self._runs.pop(run.work.stream_id, None) is not None:
            self._tell(StreamEnded(run.work.stream_id))
            run.work.release(run.resume)

    def _cancel(self, run: StreamRun) -> None:
        if run.cancelled is None:
            run.cancelled = spawn(self._cancel_at_engine(run.work.stream_id))

    async def _cancel_at_engine(self, stream_id: str) -> bytes:
        try:
            return await self._engine.cancel(stream_id)
        except PomeloshiftError as exc:
            logger.warning(
                "event=cancel_failed stream={} code={}", stream_id, exc.code.value
            )
            return b""


def _cut_error() -> ErrorReport:
    return ErrorReport(
        ErrorCode.BACKEND_SERVER_LOST, "the engine's answer was cut", Ran.YES
    )


def _down_error() -> ErrorReport:
    message = "the backend server's engine does not answer"
    return ErrorReport(ErrorCode.NO_BACKEND_SERVER, message, Ran.NO, 0.0)
