"""Dispatches callers' requests to the online and the batch service."""

from typing import Any

import attrs

from ..dispatch import ConfigHolder, Route, RouteKind, ServingConfig, Workspace
from ..errors import PomeloshiftError
from ..http1 import Exchange
from ..net._periodic_tasks import spawn
from ..platform import CallerRequest, read_batch_call, read_caller_request
from ._batch_api import BatchApi
from ._engine_access import EngineAccess
from ._events import EventLog
from ._online_service import OnlineService
from ._refusal import refuse
from ._timing import CONFIG_MAX_AGE_S
from ._topic_follower import TopicFollower
from ._workspace_rates import WorkspaceRates


@attrs.define
class RequestDispatcher:
    """Dispatches requests by route to the online service or the batch API.

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
    rates: WorkspaceRates
    is_closed: bool = False

    def handle(self, exchange: Exchange) -> None:
        """Handles a request under the configuration in force."""
        req = read_caller_request(exchange.head)
        config = self.config.current
        if config is None or self.is_closed:
            why = "stopping" if self.is_closed else "no configuration yet"
            self._refuse(exchange, req, why)
        elif not self._dispatch(exchange, req, config):
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
        if not self._dispatch(exchange, req, config):
            self.events.info("route_unknown", id=req.id, version=config.version)
            refuse(exchange, 404)

    def _dispatch(
        self, exchange: Exchange, req: CallerRequest, config: ServingConfig
    ) -> bool:
        """Dispatches a request; returns False if no route and no job matches."""
        call = read_batch_call(req)
        if call is not None and (
            _has_batch_route(config.routes_of(req.host))
            or self.batch.has_job(call.job_id, req.host)
        ):
            self.batch.call(exchange, req, call)
            return True
        route = config.match(req.host, req.path)
        if route is not None and route.kind is RouteKind.BATCH:
            self.batch.submit(exchange, req, route)
        elif self.batch.is_repeat(req):
            self.batch.accept_repeat(exchange, req)
        elif route is not None:
            workspace = _workspace_of(req, config)
            if self.rates.admits(exchange, req, workspace):
                allowance = self.rates.allowance(workspace)
                self.online.handle(exchange, req, route, config, allowance)
        else:
            return False
        return True

    def _refuse(self, exchange: Exchange, req: CallerRequest, why: str) -> None:
        self.events.warn("request_refused", id=req.id, why=why)
        refuse(exchange, 503, self.access.retry_after.elsewhere())


def _workspace_of(req: CallerRequest, config: ServingConfig) -> Workspace | None:
    """Returns the workspace whose key a request carries, if any."""
    return None if req.api_key is None else config.workspace_of_key(req.api_key)


def _has_batch_route(routes: tuple[Route, ...]) -> bool:
    return any(route.kind is RouteKind.BATCH for route in routes)
