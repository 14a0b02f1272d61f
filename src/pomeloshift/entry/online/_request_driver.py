"""The I/O layer of one caller's request."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.server import Request

from ...attempts import (
    AbandonAttempt,
    CallerDisconnected,
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
from ._caller_response import CallerResponse
from ._sidecar_client import SidecarClient
from ._sidecar_connection import SidecarConnection

OnEffect = Callable[[OnlineEffect], None]


class RequestDriver:
    """Feeds events to the core of one request and applies its effects.

    ``on_effect`` is called with every effect after it was applied. ``done`` fires
    with the last effect, or with `None` if the caller has disconnected.
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
        self._response = CallerResponse(req)
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._on_effect = on_effect
        self._connections: dict[int, SidecarConnection] = {}
        self._current: SidecarConnection | None = None
        self._timer: Any = None
        self._fires_at = 0.0
        self._latest_timer = SetTimer(0, 0.0)
        self._events: deque[OnlineEvent] = deque()
        self._is_handling = False
        self._final_effect: OnlineEffect | None = None
        self.done: Deferred[OnlineEffect | None] = Deferred(
            lambda _: self._on_caller_disconnected()
        )

    def start(self) -> None:
        """Starts the request; `done` fires when it has ended."""
        self._response.throttle(self._pause, self._resume)
        self._req.notifyFinish().addErrback(lambda _: self._on_caller_disconnected())
        self.feed(Started())

    def feed(self, event: OnlineEvent) -> None:
        """Passes an event to the core and applies its effects.

        Events that occur while effects are applied are queued.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False
        if self._core.is_done and not self.done.called:
            self._close()
            self.done.callback(self._final_effect)

    def _handle(self, event: OnlineEvent) -> None:
        for effect in self._core.handle(event, self._clock.monotonic()):
            self._apply_effect(effect)
            self._on_effect(effect)

    def _apply_effect(self, effect: OnlineEffect) -> None:
        match effect:
            case OpenAttempt(connection=number):
                self._current = self._client.open(effect, self.feed)
                self._connections[number] = self._current
            case CloseConnection(connection=number):
                self._close_connection(number)
            case AbandonAttempt(instance=instance, attempt_id=attempt_id):
                self._client.abandon(instance, attempt_id)
            case Deliver(payload=payload, status=status, content_type=kind):
                self._response.write(payload, status, kind)
            case SetTimer():
                self._set_timer(effect)
            case Complete():
                self._final_effect = effect
                self._response.finish()
            case Fail(error=error):
                self._final_effect = effect
                self._response.fail(error)
            case ServerFailed():
                pass

    def _set_timer(self, effect: SetTimer) -> None:
        """Sets the request timer.

        A pending call that is due earlier is not cancelled: it sets the timer again
        when it fires.
        """
        self._latest_timer = effect
        if self._timer is not None and self._fires_at <= effect.at:
            return
        self._cancel_timer()
        delay_s = max(0.0, effect.at - self._clock.monotonic())
        self._fires_at = effect.at
        self._timer = self._reactor.callLater(delay_s, self._fire)

    def _fire(self) -> None:
        self._timer = None
        if self._latest_timer.at > self._fires_at:
            self._set_timer(self._latest_timer)
        else:
            self.feed(Timer(self._latest_timer.number))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_connection(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.close()

    def _on_caller_disconnected(self) -> None:
        self._response.mark_disconnected()
        self.feed(CallerDisconnected())

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
        if not isinstance(self._final_effect, Complete):
            for number in list(self._connections):
                self._close_connection(number)
        self._connections.clear()
