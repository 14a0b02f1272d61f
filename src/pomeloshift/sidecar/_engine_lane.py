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
    BatchWanted,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    TakeBackStream,
    Tick,
    TokensArrived,
    admission_config,
)
from ..config import ServiceConfig
from ..errors import ErrorCode, ErrorReport, PomeloshiftError, Ran
from ..model import LoadReport
from ..net import Clock
from ..net._loops import spawn
from ._engine_client import EngineClient
from ._engine_errors import EngineLostError, EngineRefusedError
from ._engine_types import EngineEnd
from ._work import Work

ENGINE_POLL_S = 0.25


class BatchSource(Protocol):
    """Where a lane asks for batch work."""

    def want(self, lane: "EngineLane", tokens: int, items: int) -> None:
        """Notes that the lane has room for batch work."""


@attrs.define
class _Run:
    """What the lane knows of one stream.

    ``cancelled`` gives the engine's resume token once a cancel was answered. A run
    is parked when the engine knows it no more and admission has not resumed it.
    """

    work: Work
    resume: bytes = b""
    at_engine: bool = False
    withdrawn: bool = False
    taken_back: bool = False
    resume_wanted: bool = False
    releasing: bool = False
    cancelled: Deferred[bytes] | None = None
    stopped: Deferred[None] | None = None


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
        self._incarnation = incarnation
        self._losses = 0
        self._engine = engine
        self._admission = admission
        self._batch = batch
        self._clock = clock
        self._sleep = sleep
        self._on_state = on_state
        self._runs: dict[str, _Run] = {}
        self._is_down = False
        self._closed = False

    @property
    def is_down(self) -> bool:
        """Whether the engine was lost and has not answered since."""
        return self._is_down

    @property
    def is_idle(self) -> bool:
        """Whether no stream is known."""
        return not self._runs

    def load(self) -> LoadReport:
        """Returns the lane's load."""
        return self._admission.load(self._clock.monotonic())

    async def check(self) -> None:
        """Asks whether the engine answers, and waits until it does."""
        if not self._is_down and not await self._engine.alive():
            self._mark_down()

    async def close(self) -> None:
        """Closes the connections to the engine."""
        self._closed = True
        await self._engine.close()

    def configure(self, service: ServiceConfig) -> None:
        """Applies the targets and the batch weight of a newer configuration."""
        self._admission.reconfigure(admission_config(service))

    def offer(self, work: Work, resume: bytes = b"") -> None:
        """Takes new work; admission decides when it runs."""
        self._runs[work.stream_id] = _Run(work, resume)
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
        if isinstance(effect, BatchWanted):
            if self._is_down:
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
            case TakeBackStream():
                run.taken_back = True
                run.resume_wanted = False
                self._cancel(run)
            case ReleaseStream():
                spawn(self._release(run))
            case ShedStream():
                del self._runs[run.work.stream_id]
                run.work.fail(effect.error)

    async def _run(self, run: _Run) -> None:
        """Runs a stream to its end, with every taking back and resuming between."""
        if self._is_down:
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
            elif run.taken_back:
                await self._park(run, isinstance(end, EngineEnd))
            elif isinstance(end, EngineEnd):
                self._end(run)
                run.work.fail(_cut_error())
            else:
                self._take_failure(run, end)
        if run.stopped is not None:
            run.stopped.callback(None)

    def _take_failure(self, run: _Run, error: PomeloshiftError) -> None:
        run.at_engine = False
        if isinstance(error, EngineRefusedError) and error.status == 0:
            self._mark_down()
            self._turn_away(run)
            return
        report = error.report()
        if isinstance(error, EngineLostError):
            self._mark_down()
            incident = f"{self.name}/{self._incarnation}/{self._losses}"
            report = attrs.evolve(report, incident=incident)
        self._end(run)
        run.work.fail(report)

    def _turn_away(self, run: _Run) -> None:
        """Ends a stream that an engine which is down has not seen."""
        if self._runs.pop(run.work.stream_id, None) is None:
            return
        self._tell(StreamEnded(run.work.stream_id))
        if run.work.is_batch:
            run.work.release(run.resume)
        else:
            run.work.fail(_down_error())

    def _mark_down(self) -> None:
        if self._is_down or self._closed:
            return
        self._is_down = True
        self._losses += 1
        logger.warning("event=engine_down engine={}", self.name)
        self._on_state()
        spawn(self._wait_until_up())

    async def _wait_until_up(self) -> None:
        while not self._closed and not await self._engine.alive():
            await self._sleep(ENGINE_POLL_S)
        self._is_down = False
        if not self._closed:
            logger.info("event=engine_up engine={}", self.name)
            self._on_state()

    async def _run_once(self, run: _Run) -> EngineEnd | PomeloshiftError:
        stream_id = run.work.stream_id
        run.taken_back = False
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

    async def _park(self, run: _Run, was_closed_cleanly: bool) -> None:
        """Keeps the progress of a stream that was taken back.

        The engine closes a stream only after every token that its resume token
        covers; after a broken connection the stream has to begin anew.
        """
        token = b"" if run.cancelled is None else await run.cancelled
        run.resume = token if was_closed_cleanly else b""
        if not run.resume:
            run.work.restart()
        run.at_engine = run.resume_wanted and not run.withdrawn

    def _resume(self, run: _Run) -> None:
        if run.at_engine:
            run.resume_wanted = not run.releasing
        elif not run.releasing:
            spawn(self._run(run))

    def _end(self, run: _Run) -> None:
        run.at_engine = False
        self._runs.pop(run.work.stream_id, None)
        self._tell(StreamEnded(run.work.stream_id))

    async def _release(self, run: _Run) -> None:
        run.releasing = True
        run.taken_back = True
        run.resume_wanted = False
        if run.at_engine:
            self._cancel(run)
            run.stopped = Deferred()
            await run.stopped
        if self._runs.pop(run.work.stream_id, None) is not None:
            self._tell(StreamEnded(run.work.stream_id))
            run.work.release(run.resume)

    def _cancel(self, run: _Run) -> None:
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
