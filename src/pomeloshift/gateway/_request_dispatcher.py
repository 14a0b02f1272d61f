"""Dispatches callers' requests to the online and the batch service."""

from functools import partial
from typing import Any

import attrs

from ..dispatch import ConfigHolder, Route, RouteKind, ServingConfig
from ..errors import PomeloshiftError
from ..http1 import Exchange
from ..net._periodic_tasks import spawn
from ..platform import CallerRequest, read_batch_call, read_caller_request
from ..workspaces import Caller, Verdict
from ._batch_api import BatchApi
from ._engine_access import EngineAccess
from ._events import EventLog
from ._online_service import OnlineService
from ._refusal import refuse
from ._request_target import RequestTarget
from ._timing import CONFIG_MAX_AGE_S
from ._topic_follower import TopicFollower
from ._workspace_access import WorkspaceAccess
from ._workspace_rates import WorkspaceRates


@attrs.define
class RequestDispatcher:
    """Dispatches requests by route to the online service or the batch API.

    Where the configuration has workspaces, only callers with a valid key are served.

    Calls that concern an accepted job go to the batch API also after the job's route
    has ended: callers may read the results for as long as they are kept. Once
    ``is_closed`` is set, it refuses all requests as not run.
    """

    config: ConfigHolder
    config_follower: TopicFollower
    online: OnlineService
    batch: BatchApi
    access: EngineAccess
    events: EventLog
    clock: Any
    workspaces: WorkspaceAccess
    rates: WorkspaceRates
    is_closed: bool = False

    def handle(self, exchange: Exchange) -> None:
        """Handles a request under the configuration in force."""
        req = read_caller_request(exchange.head)
        config = self.config.current
        if config is None or self.is_closed:
            why = "stopping" if self.is_closed else "no configuration yet"
            self._refuse(exchange, req, why)
        elif not self._dispatch(
            exchange, req, config, self.workspaces.oldest_current()
        ):
            spawn(self._handle_unmatched(exchange, req))

    async def _handle_unmatched(self, exchange: Exchange, req: CallerRequest) -> None:
        """Responds 404 only if the newest configuration has no such route either.

        Nor may the request concern a job that was accepted before its route ended.
        """
        try:
            if self.config.age(self.clock.monotonic()) > CONFIG_MAX_AGE_S:
                await self.config_follower.catch_up()
            await self.batch.require_fresh()
        except PomeloshiftError as exc:
            why = f"configuration or jobs not current: {exc.message}"
            self._refuse(exchange, req, why)
            return
        config = self.config.current
        assert config is not None
        since = self.workspaces.oldest_current()
        if not self._dispatch(exchange, req, config, since):
            self.events.info("route_unknown", id=req.id, version=config.version)
            refuse(exchange, 404)

    def _dispatch(
        self,
        exchange: Exchange,
        req: CallerRequest,
        config: ServingConfig,
        current_since: float,
    ) -> bool:
        """Dispatches a request; returns False if no route and no job matches.

        A configuration confirmed at ``current_since`` or later counts as current.
        """
        target = self._find_target(exchange, req, config)
        if target is None:
            return False
        decision = self.workspaces.decide(
            req, config, target.is_anonymous, target.priority, current_since
        )
        if decision.verdict is Verdict.SERVE:
            target.serve(decision.caller)
        elif decision.verdict is Verdict.READ:
            spawn(self._dispatch_after_read(exchange, req, current_since))
        elif decision.verdict is Verdict.NO_LEASE:
            self._refuse(exchange, req, "the lease on the configuration has expired")
        else:
            self.events.info(
                "key_unknown",
                id=req.id,
                has_key=req.api_key is not None,
                version=config.version,
            )
            refuse(exchange, 401)
        return True

    async def _dispatch_after_read(
        self, exchange: Exchange, req: CallerRequest, current_since: float
    ) -> None:
        """Dispatches a request whose key may be newer than the configuration."""
        try:
            await self.workspaces.read_since(current_since)
        except PomeloshiftError as exc:
            self._refuse(exchange, req, f"configuration not current: {exc.message}")
            return
        config = self.config.current
        assert config is not None
        if exchange.is_over:
            return
        if not self._dispatch(exchange, req, config, current_since):
            await self._handle_unmatched(exchange, req)

    def _find_target(
        self, exchange: Exchange, req: CallerRequest, config: ServingConfig
    ) -> RequestTarget | None:
        """Returns what a request is for, None if no route and no job matches."""
        call = read_batch_call(req)
        if call is not None:
            routes = _batch_routes(config.routes_of(req.host))
            if routes or self.batch.has_job(call.job_id, req.host):
                serve = partial(self.batch.call, exchange, req, call)
                is_anonymous = any(route.is_anonymous for route in routes)
                is_anonymous = is_anonymous or self.batch.is_anonymous(call.job_id)
                return RequestTarget(serve, is_anonymous)
        route = config.match(req.host, req.path)
        if route is not None and route.kind is RouteKind.BATCH:
            serve = partial(self.batch.submit, exchange, req, route)
        elif self.batch.is_repeat(req):
            serve = partial(self.batch.accept_repeat, exchange, req)
            return RequestTarget(serve, self.batch.is_anonymous(req.id))
        elif route is not None:
            serve = partial(self._serve_online, exchange, req, route, config)
        else:
            return None
        return RequestTarget(serve, route.is_anonymous, route.priority)

    def _serve_online(
        self,
        exchange: Exchange,
        req: CallerRequest,
        route: Route,
        config: ServingConfig,
        caller: Caller,
    ) -> None:
        """Serves an online request that is within the limit of its workspace."""
        if self.is_closed:
            # It waited for the configuration until it could no longer finish.
            self._refuse(exchange, req, "stopping")
        elif self.rates.admits(exchange, req, caller.workspace):
            allowance = self.rates.allowance(caller.workspace)
            self.online.handle(exchange, req, route, config, caller, allowance)

    def _refuse(self, exchange: Exchange, req: CallerRequest, why: str) -> None:
        self.events.warn("request_refused", id=req.id, why=why)
        refuse(exchange, 503, self.access.retry_after.elsewhere())


def _batch_routes(routes: tuple[Route, ...]) -> list[Route]:
    return [route for route in routes if route.kind is RouteKind.BATCH]
