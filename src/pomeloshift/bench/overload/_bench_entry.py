"""An entry built from the real decision cores, in virtual time."""

from random import Random

import attrs

from ...attempts import (
    AbandonAttempt,
    AttemptAccepted,
    AttemptRefused,
    CallerDisconnected,
    Complete,
    Deliver,
    Fail,
    FrameArrived,
    OnlineEffect,
    OnlineEvent,
    OnlineRequest,
    OpenAttempt,
    RequestSpec,
    SetTimer,
    Started,
    Target,
    Timer,
)
from ...config import WorkspaceConfig
from ...errors import ErrorCode, ErrorReport, Ran
from ...limits import Admit, LimitEffect, Limiter, Outcome, RetryBudget, Shed
from ...model import Place, Priority
from ...routing import RouteQuery, Router, RouterConfig
from ...wire import Frame
from ..routing._virtual_loop import VirtualLoop
from ._call import Call, CallCallbacks
from ._slot_server import SlotServer, Stream
from ._variant import Variant

SERVICE = "model"
LATENCY_S = 0.001
PROMPT_TOKENS = 100
FIRST_TOKEN_TARGET_S = 0.7
LONG_WAIT_S = 30.0  # longer than every deadline of the bench
SERVER_RETRY_AFTER_S = 1.0


class _UnlimitedRetries:
    """A retry budget that permits every retry."""

    def try_spend(self, now: float) -> bool:
        """Returns true; retries are unlimited."""
        return True


@attrs.define(eq=False)
class _OpenCall:
    """A call in progress at this entry; times are in seconds of virtual time."""

    call: Call
    callbacks: CallCallbacks
    sent_at: float
    admitted_at: float = 0.0
    core: OnlineRequest | None = None
    first_token_at: float | None = None
    server: str = ""


class BenchEntry:
    """Admits calls, chooses servers and applies the effects of the cores."""

    def __init__(
        self,
        name: str,
        place: Place,
        servers: dict[str, SlotServer],
        variant: Variant,
        loop: VirtualLoop,
        rng: Random,
    ) -> None:
        self.router = Router(RouterConfig(name=name), place, rng)
        self._servers = servers
        self._variant = variant
        self._loop = loop
        self._rng = rng
        self._limiter = Limiter(
            lambda workspace: WorkspaceConfig(
                workspace, requests_per_s=1e6, concurrency=1_000_000
            )
        )
        self._budget = RetryBudget() if variant.has_limits else _UnlimitedRetries()
        self._open: dict[str, _OpenCall] = {}

    def send(self, call: Call, callbacks: CallCallbacks) -> None:
        """Offers a call to the limiter, or starts it in a variant without limits."""
        self._open[call.request_id] = _OpenCall(call, callbacks, self._loop.now)
        if not self._variant.has_limits:
            self._start(call.request_id)
            return
        workspace = call.workspace if self._variant.is_fair else "all"
        cost = PROMPT_TOKENS + call.output_tokens
        self._apply_limits(
            self._limiter.offer(
                call.request_id, workspace, cost, call.deadline_at, self._loop.now
            )
        )

    def disconnect(self, request_id: str) -> None:
        """Ends a call whose caller disconnected."""
        opened = self._open.get(request_id)
        if opened is None:
            return
        if opened.core is None:
            workspace = opened.call.workspace if self._variant.is_fair else "all"
            self._limiter.cancel(request_id, workspace)
            del self._open[request_id]
            return
        self._feed(request_id, CallerDisconnected())
        self._close(request_id, Outcome.TOO_LATE)

    def poll(self) -> None:
        """Polls the limiter, which sheds late calls and admits waiting ones."""
        if self._variant.has_limits:
            self._apply_limits(self._limiter.poll(self._loop.now))

    def choose(
        self, excluded: frozenset[str], alone: bool, now: float
    ) -> Target | None:
        """Returns the server for the next attempt, or `None` if there is none."""
        query = RouteQuery(
            SERVICE,
            Priority.ONLINE,
            PROMPT_TOKENS,
            PROMPT_TOKENS,
            LONG_WAIT_S,
            excluded=excluded,
            first_token_s=FIRST_TOKEN_TARGET_S,
        )
        route = self.router.choose(query, now)
        return None if route is None else Target(route.instance)

    def refusal(self, now: float) -> ErrorReport | None:
        """Returns `None`; the bench quarantines no requests."""
        return None

    def is_suspect(self, now: float) -> bool:
        """Returns false; the bench has no suspect requests."""
        return False

    def _apply_limits(self, effects: list[LimitEffect]) -> None:
        for effect in effects:
            match effect:
                case Admit(request_id=request_id):
                    self._start(request_id)
                case Shed(request_id=request_id, error=error):
                    self._open.pop(request_id).callbacks.on_error(error.report())

    def _start(self, request_id: str) -> None:
        opened = self._open[request_id]
        opened.admitted_at = self._loop.now
        call = opened.call
        spec = RequestSpec(
            request_id,
            call.workspace,
            SERVICE,
            "POST",
            "/",
            b"",
            call.deadline_at,
            PROMPT_TOKENS,
            call.output_tokens,
        )
        opened.core = OnlineRequest(spec, self, self._budget, self._rng)
        self._feed(request_id, Started())

    def _feed(self, request_id: str, event: OnlineEvent) -> None:
        opened = self._open.get(request_id)
        if opened is None or opened.core is None:
            return
        for effect in opened.core.handle(event, self._loop.now):
            self._apply_effect(opened, effect)

    def _apply_effect(self, opened: _OpenCall, effect: OnlineEffect) -> None:
        request_id = opened.call.request_id
        match effect:
            case OpenAttempt():
                self._count_server(opened, effect.instance.name)
                self._loop.after(LATENCY_S, self._arrive, opened, effect)
            case AbandonAttempt(instance=instance, attempt_id=attempt_id):
                server = self._servers[instance.name]
                self._loop.after(LATENCY_S, server.cancel, attempt_id)
            case SetTimer(number=number, at=at):
                self._loop.at(at, self._feed, request_id, Timer(number))
            case Deliver():
                self._note_first_token(opened)
            case Complete():
                late = self._wait_s(opened) > FIRST_TOKEN_TARGET_S
                self._close(request_id, Outcome.TOO_LATE if late else Outcome.IN_TIME)
                opened.callbacks.on_complete()
            case Fail(error=error):
                refused = error.code is ErrorCode.OVERLOADED
                self._close(request_id, Outcome.REFUSED if refused else Outcome.OTHER)
                opened.callbacks.on_error(error)

    def _arrive(self, opened: _OpenCall, effect: OpenAttempt) -> None:
        request_id = opened.call.request_id
        number = effect.connection
        attempt_id = effect.request.attempt_id

        def reply(event: OnlineEvent) -> None:
            self._loop.after(LATENCY_S, self._feed, request_id, event)

        def send_first() -> None:
            reply(FrameArrived(number, Frame(attempt_id, 0, b"x")))

        def send_last() -> None:
            reply(FrameArrived(number, Frame(attempt_id, 1, total=2)))

        stream = Stream(attempt_id, opened.call.output_tokens, send_first, send_last)
        if self._servers[effect.instance.name].offer(stream):
            reply(AttemptAccepted(number))
            return
        error = ErrorReport(ErrorCode.OVERLOADED, "", Ran.NO, SERVER_RETRY_AFTER_S)
        reply(AttemptRefused(number, error))

    def _note_first_token(self, opened: _OpenCall) -> None:
        if opened.first_token_at is None:
            opened.first_token_at = self._loop.now
            self.router.mark_responsive(opened.server)
            opened.callbacks.on_first_token()

    def _wait_s(self, opened: _OpenCall) -> float:
        first = opened.first_token_at
        return LONG_WAIT_S if first is None else first - opened.admitted_at

    def _count_server(self, opened: _OpenCall, name: str) -> None:
        tokens = PROMPT_TOKENS + opened.call.output_tokens
        if opened.server:
            self.router.finished(opened.server, tokens)
        opened.server = name
        if name:
            self.router.started(name, tokens)

    def _close(self, request_id: str, outcome: Outcome) -> None:
        opened = self._open.pop(request_id, None)
        if opened is None:
            return
        self._count_server(opened, "")
        if not self._variant.has_limits:
            return
        if outcome is Outcome.IN_TIME and isinstance(self._budget, RetryBudget):
            self._budget.succeeded(self._loop.now)
        self._apply_limits(self._limiter.ended(request_id, outcome, self._loop.now))
