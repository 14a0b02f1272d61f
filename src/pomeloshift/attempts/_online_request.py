"""Runs one online request at an entry: attempts, connections and retries."""

from enum import Enum
from random import Random

import attrs

from ..errors import ErrorCode, ErrorReport, Ran
from ..wire import Frame
from ._attempt_request import make_request
from ._chooser import Budget, Chooser, Target
from ._continuity import Continuity, ContinuityError
from ._effects import (
    AbandonAttempt,
    CloseConnection,
    Complete,
    Deliver,
    Fail,
    OnlineEffect,
    OpenAttempt,
    ServerFailed,
    ServerFault,
)
from ._events import (
    AttemptAccepted,
    AttemptRefused,
    BecameSuspect,
    CallerDisconnected,
    CallerPaused,
    CallerResumed,
    ConnectionLost,
    FrameArrived,
    OnlineEvent,
    Started,
    Timer,
)
from ._online_config import OnlineConfig
from ._request_spec import RequestSpec
from ._request_timer import RequestTimer
from ._retry_plan import RetryPlan
from ._retry_scope import combine_ran


class Phase(Enum):
    """The phase of a request.

    In ``OPENING`` the request waits for a sidecar's acknowledgement, in ``STREAMING``
    for frames and in ``WAITING`` for the time of the next attempt.
    """

    NEW = "new"
    OPENING = "opening"
    STREAMING = "streaming"
    WAITING = "waiting"
    DONE = "done"


class OnlineRequest:
    """One caller's request from its acceptance by the entry to its response or error.

    An attempt is one try to run the request on one backend server. It may use several
    connections, one after another; events of earlier connections are ignored.
    """

    def __init__(
        self,
        spec: RequestSpec,
        chooser: Chooser,
        budget: Budget,
        rng: Random,
        cfg: OnlineConfig | None = None,
    ) -> None:
        self._spec = spec
        self._chooser = chooser
        self._cfg = cfg or OnlineConfig()
        self._plan = RetryPlan(
            self._cfg, budget, rng, spec.idempotent, alone=spec.alone
        )
        self._timer = RequestTimer(spec.deadline_at)
        self._phase = Phase.NEW
        self._target: Target | None = None
        self._attempts = 0
        self._connection = 0
        self._sequence = 0
        self._is_sent = False
        self._reconnects = 0
        self._is_accepted = False
        self._ran = Ran.NO
        self._continuity = Continuity()
        self._stall_s = self._cfg.stall_s
        self._effects: list[OnlineEffect] = []

    @property
    def is_done(self) -> bool:
        """Whether the request has ended."""
        return self._phase is Phase.DONE

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt."""
        return f"{self._spec.request_id}.{self._attempts}"

    def handle(self, event: OnlineEvent, now: float) -> list[OnlineEffect]:
        """Handles an event and returns the effects to execute, in order."""
        if self._phase is not Phase.DONE and not self._is_outdated(event):
            self._dispatch(event, now)
        effects, self._effects = self._effects, []
        return effects

    def _is_outdated(self, event: OnlineEvent) -> bool:
        if isinstance(event, Timer):
            return event.number != self._timer.number
        connection = getattr(event, "connection", None)
        if connection is None:
            return False
        has_no_connection = self._phase not in (Phase.OPENING, Phase.STREAMING)
        return has_no_connection or connection != self._connection

    def _dispatch(self, event: OnlineEvent, now: float) -> None:
        match event:
            case Started():
                self._begin_attempt(now)
            case AttemptAccepted():
                self._accept(now)
            case FrameArrived(frame=frame):
                self._on_frame(frame, now)
            case AttemptRefused(error=error):
                self._on_error(error, now, refused=True)
            case ConnectionLost(sent=sent):
                self._on_connection_lost(sent, now)
            case Timer():
                self._on_timer(now)
            case CallerPaused():
                self._on_caller_paused(now)
            case CallerResumed():
                self._on_caller_resumed(now)
            case BecameSuspect():
                self._restart_as_suspect(now)
            case CallerDisconnected():
                self._abandon_attempt()
                self._phase = Phase.DONE

    # Attempts and connections.

    def _begin_attempt(self, now: float) -> None:
        error = self._chooser.refusal(now)
        if error is not None:
            self._finish_failed(error)
            return
        self._plan.alone = self._plan.alone or self._chooser.is_suspect(now)
        propagation_s = self._plan.propagation_wait()
        if propagation_s:
            self._wait(propagation_s, now)
            return
        self._target = self._chooser.choose(self._plan.excluded, self._plan.alone, now)
        if self._target is None:
            self._fail_without_server(now)
            return
        self._attempts += 1
        self._sequence = 0
        self._is_sent = False
        self._is_accepted = False
        self._reconnects = 0
        self._stall_s = self._cfg.stall_s
        self._continuity.restart()
        self._open(now, join_only=False)

    def _fail_without_server(self, now: float) -> None:
        if self._plan.last_error is not None:
            self._finish_failed(self._plan.last_error)
            return
        self._fail_with(ErrorCode.NO_BACKEND_SERVER, "no backend server is available")

    def _open(self, now: float, *, join_only: bool) -> None:
        assert self._target is not None
        self._connection += 1
        self._phase = Phase.OPENING
        request = make_request(
            self._spec,
            self.attempt_id,
            self._target.incarnation,
            deadline_s=self._timer.limit_at - now,
            next_sequence=self._sequence,
            join_only=join_only,
            alone=self._plan.alone,
        )
        self._effects.append(
            OpenAttempt(self._connection, self._target.instance, request)
        )
        self._set_timer(now + self._cfg.accept_timeout_s)

    def _accept(self, now: float) -> None:
        if self._phase is Phase.OPENING:
            self._phase = Phase.STREAMING
            self._is_sent = True
            self._is_accepted = True
            self._set_timer(now + self._stall_s)

    def _on_connection_lost(self, sent: bool, now: float) -> None:
        if not sent:
            self._on_server_lost(ServerFault.UNREACHABLE, now, exempt=True)
            return
        self._is_sent = True
        self._reconnect(now)

    def _reconnect(self, now: float) -> None:
        """Opens a new connection to the same sidecar.

        With ``join_only`` the sidecar may continue an attempt that it has, but not
        start one. This is set if the sidecar had accepted the attempt, if the call is
        non-idempotent, or for the last connection.
        """
        self._effects.append(CloseConnection(self._connection))
        self._reconnects += 1
        if self._reconnects > self._cfg.max_reconnects:
            self._on_server_lost(ServerFault.UNREACHABLE, now, exempt=False)
            return
        is_last = self._reconnects == self._cfg.max_reconnects
        may_start = self._spec.idempotent and not self._is_accepted
        self._open(now, join_only=is_last or not may_start)

    def _on_server_lost(self, fault: ServerFault, now: float, *, exempt: bool) -> None:
        """Abandons the attempt and retries on another server if that is safe.

        With ``exempt`` the retry is not charged to the retry budget.
        """
        ran = Ran.NO
        if self._sequence:
            ran = Ran.YES
        elif self._is_sent:
            ran = Ran.UNKNOWN
        error = ErrorReport(
            ErrorCode.BACKEND_SERVER_LOST,
            "the backend server was lost",
            ran,
            self._cfg.retry_after_s,
        )
        if not self._is_sent:
            self._report_fault(fault)
            self._retry(error, now, exempt=exempt)
            return
        self._abandon_attempt()
        self._end_attempt(error, fault, now, exempt=exempt)

    def _abandon_attempt(self) -> None:
        if self._target is None:
            return
        if self._phase in (Phase.OPENING, Phase.STREAMING):
            self._effects.append(CloseConnection(self._connection))
        if self._attempts:
            instance = self._target.instance
            self._effects.append(AbandonAttempt(instance, self.attempt_id))

    def _report_fault(self, fault: ServerFault, incident: str = "") -> None:
        assert self._target is not None
        self._effects.append(ServerFailed(self._target.instance, fault, incident))

    def _restart_as_suspect(self, now: float) -> None:
        """Abandons the current run and begins another as a suspect, since the request
        may crash its server.

        Does nothing unless the request can be run again safely and isn't running alone
        already.
        """
        running = self._phase in (Phase.OPENING, Phase.STREAMING)
        if self._plan.alone or not running or not self._spec.idempotent:
            return
        if self._continuity.delivered_any:
            return
        self._abandon_attempt()
        if self._is_sent or self._phase is Phase.OPENING:
            self._ran = combine_ran(self._ran, Ran.UNKNOWN)
        self._begin_attempt(now)

    # Frames.

    def _on_frame(self, frame: Frame, now: float) -> None:
        if frame.attempt_id != self.attempt_id or frame.sequence < self._sequence:
            return
        if frame.sequence > self._sequence or not _has_valid_total(frame):
            self._reconnect(now)
            return
        if frame.error is not None:
            self._on_error(frame.error, now, refused=False)
            return
        self._accept(now)
        self._sequence += 1
        self._reconnects = 0
        self._stall_s = self._cfg.stall_s
        self._ran = Ran.YES
        try:
            self._deliver(frame, now)
        except ContinuityError:
            self._abandon_attempt()
            self._fail_with(
                ErrorCode.BACKEND_SERVER_LOST,
                "the backend server was lost and the response cannot be resumed",
            )
            return
        if frame.total is not None:
            self._complete()

    def _deliver(self, frame: Frame, now: float) -> None:
        if frame.sequence == 0:
            self._continuity.check_status(frame.status)
        payload = self._continuity.replay(frame.payload)
        self._set_timer(now + self._stall_s)
        if not payload and self._continuity.delivered_any:
            return
        self._continuity.deliver(payload)
        self._timer.extend(now + self._cfg.idle_limit_s)
        self._effects.append(
            Deliver(payload, frame.status, frame.content_type, frame.tokens)
        )

    def _complete(self) -> None:
        if self._continuity.is_replaying:
            self._fail_with(
                ErrorCode.BACKEND_SERVER_LOST, "the response cannot be resumed"
            )
            return
        self._phase = Phase.DONE
        self._effects.append(Complete())

    # Errors and retries.

    def _on_error(self, error: ErrorReport, now: float, *, refused: bool) -> None:
        self._effects.append(CloseConnection(self._connection))
        if refused and self._sequence:
            error = attrs.evolve(error, ran=Ran.YES)
        fault = ServerFault.LEAVING if error.code is ErrorCode.DRAINING else None
        self._end_attempt(error, fault, now, exempt=_may_have_crashed(error))

    def _end_attempt(
        self,
        error: ErrorReport,
        fault: ServerFault | None,
        now: float,
        *,
        exempt: bool,
    ) -> None:
        self._ran = combine_ran(self._ran, error.ran)
        if _may_have_crashed(error):
            fault = ServerFault.CRASHED
        if fault is not None:
            self._report_fault(fault, error.incident)
        if fault is ServerFault.CRASHED and self._plan.record_crash():
            self._finish_failed(error)
            return
        self._retry(error, now, exempt=exempt)

    def _retry(self, error: ErrorReport, now: float, *, exempt: bool) -> None:
        assert self._target is not None
        name = self._target.instance.name
        wait_s = self._plan.wait_after(error, name, now, exempt=exempt)
        if wait_s is None:
            self._finish_failed(error)
        elif wait_s:
            self._wait(wait_s, now)
        else:
            self._begin_attempt(now)

    def _wait(self, seconds: float, now: float) -> None:
        self._phase = Phase.WAITING
        self._set_timer(now + seconds)

    def _fail_with(self, code: ErrorCode, message: str) -> None:
        error = ErrorReport(code, message, self._ran, self._cfg.retry_after_s)
        self._finish_failed(error)

    def _finish_failed(self, error: ErrorReport) -> None:
        self._phase = Phase.DONE
        error = attrs.evolve(error, ran=combine_ran(self._ran, error.ran))
        if error.code is ErrorCode.ATTEMPT_UNKNOWN:
            error = attrs.evolve(error, code=ErrorCode.OUTCOME_UNKNOWN)
        self._effects.append(Fail(error, self._continuity.delivered_any))

    # Timers and the deadline.

    def _on_timer(self, now: float) -> None:
        if self._timer.is_paused:
            self._abandon_attempt()
            self._fail_with(ErrorCode.CANCELLED, "the caller stopped reading")
        elif now >= self._timer.limit_at:
            self._expire()
        elif self._phase is Phase.WAITING:
            self._begin_attempt(now)
        elif self._phase in (Phase.OPENING, Phase.STREAMING):
            if self._phase is Phase.STREAMING:
                self._stall_s *= 2
                self._reconnects = 0
            self._is_sent = True
            self._reconnect(now)

    def _expire(self) -> None:
        if self._phase in (Phase.OPENING, Phase.STREAMING):
            self._ran = combine_ran(self._ran, Ran.UNKNOWN)
        self._abandon_attempt()
        self._fail_with(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed")

    def _on_caller_paused(self, now: float) -> None:
        expires_at = now + self._cfg.caller_stall_s
        self._timer.extend(expires_at)
        self._set_timer(expires_at)
        self._timer.is_paused = True

    def _on_caller_resumed(self, now: float) -> None:
        self._timer.is_paused = False
        self._set_timer(now + self._stall_s)

    def _set_timer(self, at: float) -> None:
        self._effects += self._timer.set(at)


def _has_valid_total(frame: Frame) -> bool:
    return frame.total is None or frame.total == frame.sequence + 1


def _may_have_crashed(error: ErrorReport) -> bool:
    """Returns whether the request may have crashed its backend server."""
    if error.code is ErrorCode.ATTEMPT_UNKNOWN:
        return error.ran is Ran.UNKNOWN
    return error.code is ErrorCode.BACKEND_SERVER_LOST and error.ran is not Ran.NO
