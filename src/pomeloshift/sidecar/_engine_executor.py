"""Runs the streams of one engine as admission decides."""

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
    """The source of an executor's batch work."""

    def request_items(
        self, executor: "EngineExecutor", tokens: int, items: int
    ) -> None:
        """Records that the executor has room for batch work."""


class EngineExecutor:
    """Runs the streams of one engine.

    Streams are started only here, and only on admission's effects. Every token is
    reported to admission, until its stream is withdrawn.
    """

    def __init__(
        self,
        name: str,
        engine: EngineClient,
        admission: Admission,
        batch: BatchSource,
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]],
        on_state_change: Callable[[], None] = lambda: None,
        incarnation: int = 0,
    ) -> None:
        self.name = name
        self._engine = engine
        self._admission = admission
        self._batch_source = batch
        self._clock = clock
        self._health = EngineHealth(name, incarnation, engine, sleep, on_state_change)
        self._runs: dict[str, StreamRun] = {}

    @property
    def is_down(self) -> bool:
        """Whether the engine has failed and not responded since."""
        return self._health.is_down

    @property
    def is_idle(self) -> bool:
        """Whether no stream is queued, running or preempted."""
        return not self._runs

    def load(self) -> LoadReport:
        """Returns the load of the engine, as admission counts it."""
        return self._admission.load(self._clock.monotonic())

    async def check(self) -> None:
        """Checks the engine's health."""
        await self._health.check()

    async def close(self) -> None:
        """Stops the health checks and closes the connections to the engine."""
        self._health.close()
        await self._engine.close()

    def configure(self, service: ServiceConfig) -> None:
        """Applies the targets and the batch weight of a newer configuration."""
        self._admission.reconfigure(admission_config(service))

    def offer(self, work: Work, resume: bytes = b"") -> None:
        """Queues new work; admission decides when it runs."""
        self._runs[work.stream_id] = StreamRun(work, resume)
        self._handle_event(work.offer(self._clock.monotonic()))

    def withdraw(self, stream_id: str) -> None:
        """Stops a stream whose result is no longer needed."""
        run = self._runs.pop(stream_id, None)
        if run is None:
            return
        run.is_withdrawn = True
        if run.is_at_engine:
            self._cancel(run)
        self._handle_event(StreamEnded(stream_id))

    def tick(self) -> None:
        """Passes a `Tick` to admission, for its time limits."""
        self._handle_event(Tick())

    def release_batch(self) -> list[str]:
        """Releases all batch work and returns the stream ids."""
        batch = [run for run in self._runs.values() if run.work.is_batch]
        for run in batch:
            spawn(self._release(run))
        return [run.work.stream_id for run in batch]

    def _handle_event(self, event: AdmissionEvent) -> None:
        for effect in self._admission.handle(event, self._clock.monotonic()):
            self._apply_effect(effect)

    def _apply_effect(self, effect: AdmissionEffect) -> None:
        if isinstance(effect, PullBatch):
            if self._health.is_down:
                return
            self._batch_source.request_items(self, effect.tokens, effect.items)
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
                run.is_preempted = True
                run.is_resume_pending = False
                self._cancel(run)
            case ReleaseStream():
                spawn(self._release(run))
            case ShedStream():
                del self._runs[run.work.stream_id]
                run.work.fail(effect.error)

    async def _run(self, run: StreamRun) -> None:
        """Runs a stream until it ends or stays preempted.

        A resume that arrives before the preemption is complete starts the stream again.
        """
        if self._health.is_down:
            self._reject(run)
            return
        run.is_at_engine = True
        while run.is_at_engine:
            end = await self._run_once(run)
            if run.is_withdrawn:
                run.is_at_engine = False
            elif isinstance(end, EngineEnd) and end.whole:
                self._end_stream(run)
                run.work.finish(end.status, end.content_type)
            elif run.is_preempted:
                await self._save_progress(run, isinstance(end, EngineEnd))
            elif isinstance(end, EngineEnd):
                self._end_stream(run)
                run.work.fail(_incomplete_error())
            else:
                self._handle_failure(run, end)
        if run.stopped is not None:
            run.stopped.callback(None)

    def _handle_failure(self, run: StreamRun, error: PomeloshiftError) -> None:
        run.is_at_engine = False
        if isinstance(error, EngineRefusedError) and error.status == 0:
            self._health.mark_down()
            self._reject(run)
            return
        report = error.report()
        if isinstance(error, EngineLostError):
            self._health.mark_down()
            report = attrs.evolve(report, incident=self._health.incident)
        self._end_stream(run)
        run.work.fail(report)

    def _reject(self, run: StreamRun) -> None:
        """Ends a stream whose run did not reach the engine, which is down."""
        if self._runs.pop(run.work.stream_id, None) is None:
            return
        self._handle_event(StreamEnded(run.work.stream_id))
        if run.work.is_batch:
            run.work.release(run.resume)
        else:
            run.work.fail(_down_error())

    async def _run_once(self, run: StreamRun) -> EngineEnd | PomeloshiftError:
        stream_id = run.work.stream_id
        run.is_preempted = False
        run.cancel_result = None

        def on_chunk(payload: bytes, tokens: int) -> None:
            if run.is_withdrawn:
                return
            run.work.handle_events(payload, tokens)
            if tokens:
                self._handle_event(TokensArrived(stream_id, tokens))

        try:
            return await self._engine.run(
                stream_id, run.work.path, run.work.body, on_chunk, run.resume
            )
        except PomeloshiftError as exc:
            return exc

    async def _save_progress(self, run: StreamRun, closed_cleanly: bool) -> None:
        """Saves the progress of a preempted stream.

        The engine sends every token that a resume token covers before it closes the
        stream. If the connection broke, some of these tokens may be missing; the
        resume token is then discarded and the stream starts from its beginning.
        """
        token = b"" if run.cancel_result is None else await run.cancel_result
        run.resume = token if closed_cleanly else b""
        if not run.resume:
            run.work.restart()
        run.is_at_engine = run.is_resume_pending and not run.is_withdrawn

    def _resume(self, run: StreamRun) -> None:
        if run.is_at_engine:
            run.is_resume_pending = not run.is_releasing
        elif not run.is_releasing:
            spawn(self._run(run))

    def _end_stream(self, run: StreamRun) -> None:
        run.is_at_engine = False
        self._runs.pop(run.work.stream_id, None)
        self._handle_event(StreamEnded(run.work.stream_id))

    async def _release(self, run: StreamRun) -> None:
        run.is_releasing = True
        run.is_preempted = True
        run.is_resume_pending = False
        if run.is_at_engine:
            self._cancel(run)
            run.stopped = Deferred()
            await run.stopped
        if self._runs.pop(run.work.stream_id, None) is not None:
            self._handle_event(StreamEnded(run.work.stream_id))
            run.work.release(run.resume)

    def _cancel(self, run: StreamRun) -> None:
        if run.cancel_result is None:
            run.cancel_result = spawn(self._cancel_at_engine(run.work.stream_id))

    async def _cancel_at_engine(self, stream_id: str) -> bytes:
        try:
            return await self._engine.cancel(stream_id)
        except PomeloshiftError as exc:
            logger.warning(
                "event=cancel_failed stream={} code={}", stream_id, exc.code.value
            )
            return b""


def _incomplete_error() -> ErrorReport:
    return ErrorReport(
        ErrorCode.BACKEND_SERVER_LOST, "the engine's response was incomplete", Ran.YES
    )


def _down_error() -> ErrorReport:
    message = "the backend server's engine is unresponsive"
    return ErrorReport(ErrorCode.NO_BACKEND_SERVER, message, Ran.NO, 0.0)
