"""Carries the events and effects of one caller's request."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.server import Request

from ...attempts import (
    AbandonAttempt,
    CallerGone,
    CallerPaused,
    CallerResumed,
    CloseConnection,
    Complete,
    Deliver,
    Fail,
    OnlineEffect,
    OnlineEvent,
    OnlineRequest,
    OpenAttempt,
    ServerFailed,
    SetTimer,
    Started,
    Timer,
)
from ...net import Clock
from ._caller_answer import CallerAnswer
from ._sidecar_client import SidecarClient
from ._sidecar_connection import SidecarConnection

OnEffect = Callable[[OnlineEffect], None]


class Exchange:
    """Runs the core of one request between its caller and the sidecars.

    ``on_effect`` is shown every effect after it was carried out. ``done`` fires with
    the last effect, or with `None` when the caller has gone.
    """

    def __init__(
        self,
        core: OnlineRequest,
        req: Request,
        client: SidecarClient,
        reactor: Any,
        clock: Clock,
        on_effect: OnEffect,
    ) -> None:
        self._core = core
        self._req = req
        self._answer = CallerAnswer(req)
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._on_effect = on_effect
        self._connections: dict[int, SidecarConnection] = {}
        self._current: SidecarConnection | None = None
        self._timer: Any = None
        self._armed_at = 0.0
        self._wanted = SetTimer(0, 0.0)
        self._events: deque[OnlineEvent] = deque()
        self._handling = False
        self._last: OnlineEffect | None = None
        self.done: Deferred[OnlineEffect | None] = Deferred(
            lambda _: self._lose_caller()
        )

    def start(self) -> None:
        """Starts the request."""
        self._answer.throttle(self._pause, self._resume)
        self._req.notifyFinish().addErrback(lambda _: self._lose_caller())
        self.feed(Started())

    def feed(self, event: OnlineEvent) -> None:
        """Hands an event to the core and carries its effects out.

        Events that arise meanwhile wait for their turn.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False
        if self._core.is_done and not self.done.called:
            self._close()
            self.done.callback(self._last)

    def _handle(self, event: OnlineEvent) -> None:
        for effect in self._core.handle(event, self._clock.monotonic()):
            self._carry_out(effect)
            self._on_effect(effect)

    def _carry_out(self, effect: OnlineEffect) -> None:
        match effect:
            case OpenAttempt(connection=number):
                self._current = self._client.open(effect, self.feed)
                self._connections[number] = self._current
            case CloseConnection(connection=number):
                self._close_connection(number)
            case AbandonAttempt(instance=instance, attempt_id=attempt_id):
                self._client.abandon(instance, attempt_id)
            case Deliver(payload=payload, status=status, content_type=kind):
                self._answer.write(payload, status, kind)
            case SetTimer():
                self._set_timer(effect)
            case Complete():
                self._last = effect
                self._answer.finish()
            case Fail(error=error):
                self._last = effect
                self._answer.fail(error)
            case ServerFailed():
                pass

    def _set_timer(self, effect: SetTimer) -> None:
        """Arms the timer; one that would fire earlier is left and armed again."""
        self._wanted = effect
        if self._timer is not None and self._armed_at <= effect.at:
            return
        self._cancel_timer()
        delay_s = max(0.0, effect.at - self._clock.monotonic())
        self._armed_at = effect.at
        self._timer = self._reactor.callLater(delay_s, self._fire)

    def _fire(self) -> None:
        self._timer = None
        if self._wanted.at > self._armed_at:
            self._set_timer(self._wanted)
        else:
            self.feed(Timer(self._wanted.number))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_connection(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.close()

    def _lose_caller(self) -> None:
        self._answer.gone()
        self.feed(CallerGone())

    def _pause(self) -> None:
        if self._current is not None:
            self._current.pause()
        self.feed(CallerPaused())

    def _resume(self) -> None:
        if self._current is not None:
            self._current.resume()
        self.feed(CallerResumed())

    def _close(self) -> None:
        self._cancel_timer()
        if not isinstance(self._last, Complete):
            for number in list(self._connections):
                self._close_connection(number)
        self._connections.clear()
