"""Serves online requests."""

from collections.abc import Callable
from functools import partial

import attrs
from twisted.internet.defer import CancelledError

from ..dispatch import (
    AttemptPlan,
    CrashKeys,
    Route,
    RouteKind,
    ServingConfig,
    StopWindow,
    fingerprint,
)
from ..http1 import Exchange
from ..net._periodic_tasks import spawn
from ..platform import CallerRequest
from ..workspaces import Caller
from ._crash_log import CrashLog
from ._engine_access import EngineAccess
from ._events import EventLog
from ._online import OnlineRequest
from ._response_relay import ResponseRelay
from ._stream_log import StreamLog
from ._workspace_rates import Allowance


@attrs.define
class OnlineService:
    """Starts an `OnlineRequest` for each request of an online route.

    ``may_send`` says whether a caller's requests may be sent to engines now, and
    ``window`` what may still be sent before a planned stop.
    """

    access: EngineAccess
    crashes: CrashLog
    streams: StreamLog
    events: EventLog
    open_requests: int = 0
    may_send: Callable[[Caller], bool] = lambda caller: True
    window: StopWindow = attrs.field(factory=StopWindow)

    def handle(
        self,
        exchange: Exchange,
        req: CallerRequest,
        route: Route,
        config: ServingConfig,
        caller: Caller,
        allowance: Allowance,
    ) -> None:
        """Serves a request under the configuration in force at its arrival.

        ``allowance`` is charged once the request is sent, and credited if it has not
        run.
        """
        timeout_s = route.timeout_s
        if req.deadline_s is not None:
            timeout_s = min(timeout_s, req.deadline_s)
        plan = AttemptPlan(
            is_repeatable=route.is_repeatable,
            max_runs=route.max_attempts,
            deadline=exchange.arrived_at + timeout_s,
        )
        self.access.admission.note_arrival(route, req.deadline_s)
        is_stream = route.kind is RouteKind.STREAMING
        resumed_after = req.last_event_id if is_stream else None
        relay = ResponseRelay(exchange, is_stream, self.access.now, resumed_after)
        digest = fingerprint(req.host, req.path, exchange.body)
        request = OnlineRequest(
            self.access,
            self.crashes,
            self.streams,
            self.events,
            exchange,
            req,
            route,
            config,
            plan,
            relay,
            CrashKeys(digest, req.parts),
            allowance,
            caller=caller,
            may_send=partial(self._may_send, caller, route, plan),
        )
        self.open_requests += 1
        task = spawn(self._serve(request))
        exchange.on_disconnect = task.cancel

    def _may_send(self, caller: Caller, route: Route, plan: AttemptPlan) -> bool:
        """Whether a request may be sent now; a stop lets those go on that have run."""
        if not self.may_send(caller):
            return False
        return plan.may_have_run or self.window.admits(route.name, self.access.now())

    async def _serve(self, request: OnlineRequest) -> None:
        try:
            await request.serve()
            if request.plan.may_have_run:
                took_s = self.access.now() - request.exchange.arrived_at
                self.window.note_run(request.route.name, took_s)
            else:
                request.allowance.put_back()
        except CancelledError:
            self.events.info(
                "caller_gone",
                id=request.req.id,
                runs=request.plan.runs,
                took_s=self.access.now() - request.exchange.arrived_at,
            )
            raise
        except Exception:
            if not request.exchange.is_over:
                request.exchange.abort()
            raise
        finally:
            self.open_requests -= 1
