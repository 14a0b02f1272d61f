"""Runs callers' online requests at an entry."""

import math
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import CancelledError
from twisted.web.server import Request

from ...attempts import (
    OnlineConfig,
    OnlineRequest,
    QuarantineState,
    RequestSpec,
    SuspectTracker,
)
from ...config import Configuration, ServiceConfig, WorkspaceConfig
from ...model import Place, Priority
from ...net import Clock
from ...routing import RouteQuery, Router
from ._errors import NotReadyError, QuarantinedError
from ._finished import FinishedRequest
from ._lane import Lane
from ._route_chooser import RouteChooser
from ._run import Run
from ._sidecar_client import SidecarClient

READY_RETRY_S = 1.0
ANSWER_BYTES_PER_TOKEN = 200


class OnlineService:
    """The online requests of one entry.

    ``current_config`` returns the configuration in force, or `None` before there is
    one. ``on_finished`` is called with every request that was admitted or refused.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        clock: Clock,
        reactor: Any,
        rng: Random,
        router: Router,
        current_config: Callable[[], Configuration | None],
        internal_key: str,
        *,
        config_version: Callable[[], int] = lambda: 0,
        suspects: SuspectTracker | None = None,
        on_finished: Callable[[FinishedRequest], None] = lambda finished: None,
        cfg: OnlineConfig | None = None,
    ) -> None:
        self.name = name
        self.place = place
        self.suspects = suspects or SuspectTracker()
        self._clock = clock
        self._reactor = reactor
        self._rng = rng
        self._router = router
        self._current_config = current_config
        self._config_version = config_version
        self._on_finished = on_finished
        self._cfg = cfg or OnlineConfig()
        self._client = SidecarClient(reactor, internal_key)
        self._lanes: dict[str, Lane] = {}
        self._open = 0

    @property
    def open_requests(self) -> int:
        """The number of requests that run now."""
        return self._open

    def configuration(self) -> Configuration:
        """Returns the configuration in force; raises `NotReadyError`."""
        cfg = self._current_config()
        if cfg is None:
            raise NotReadyError(
                "this entry has no configuration yet", retry_after_s=READY_RETRY_S
            )
        return cfg

    def new_request_id(self) -> str:
        """Returns an id that no other request has."""
        return f"{self.name}-{self._rng.getrandbits(96):024x}"

    @property
    def config_version(self) -> int:
        """The version of the configuration in force."""
        return self._config_version()

    def deadline_at(self, service: ServiceConfig) -> float:
        """Returns when a request that arrives now has to be answered."""
        return self._clock.monotonic() + service.online_deadline_s

    async def handle(
        self,
        req: Request,
        spec: RequestSpec,
        service: ServiceConfig,
        prefix: str = "",
    ) -> None:
        """Runs a request and writes its answer to ``req``.

        Raises a `PomeloshiftError` for a request that was not run.
        """
        started_at = self._clock.monotonic()
        self._check_quarantine(spec, started_at)
        lane = self._lane(service.name)
        if not await self._admit(req, spec, lane):
            return
        chooser = self._chooser(spec, service, prefix)
        core = OnlineRequest(spec, chooser, lane.budget, self._rng, self._cfg)
        run = Run(
            spec,
            core,
            req,
            self._client,
            self._reactor,
            self._clock,
            self._router,
            self.suspects,
            started_at,
        )
        self._open += 1
        try:
            await run.finish()
        finally:
            self._open -= 1
            target_s = service.first_token_target_s
            lane.ended(spec.request_id, run.outcome(target_s))
            self._on_finished(run.summary())

    async def close(self) -> None:
        """Closes the connections to sidecars."""
        await self._client.close()

    async def _admit(self, req: Request, spec: RequestSpec, lane: Lane) -> bool:
        waiting = lane.admit(spec)
        req.notifyFinish().addErrback(lambda _: waiting.cancel())
        try:
            await waiting
        except CancelledError:
            return False
        return True

    def _check_quarantine(self, spec: RequestSpec, now: float) -> None:
        if (
            self.suspects.quarantine_state(spec.fingerprint, now)
            is QuarantineState.QUARANTINED
        ):
            raise QuarantinedError(
                "equal requests have crashed backend servers",
                retry_after_s=self.suspects.quarantined_for(spec.fingerprint, now),
            )

    def _chooser(
        self, spec: RequestSpec, service: ServiceConfig, prefix: str
    ) -> RouteChooser:
        self._router.apply_link(self.configuration().link)
        answer_bytes = spec.max_tokens * ANSWER_BYTES_PER_TOKEN
        query = RouteQuery(
            spec.service,
            Priority.ONLINE,
            spec.prompt_tokens,
            spec.max_tokens,
            service.online_deadline_s,
            prefix,
            len(spec.body) + answer_bytes,
            first_token_s=service.first_token_target_s,
        )
        return RouteChooser(
            self._router, self.suspects, query, spec.fingerprint, spec.deadline_at
        )

    def _lane(self, service: str) -> Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = Lane(self._workspace, self._reactor, self._clock)
            self._lanes[service] = lane
        return lane

    def _workspace(self, name: str) -> WorkspaceConfig:
        cfg = self._current_config()
        found = cfg.workspace(name) if cfg is not None else None
        return _share_limits(found or WorkspaceConfig(name), self._router.entries)


def _share_limits(cfg: WorkspaceConfig, entries: int) -> WorkspaceConfig:
    """Returns the part of a workspace's limits that one of the entries allows."""
    return attrs.evolve(
        cfg,
        requests_per_s=cfg.requests_per_s / entries,
        concurrency=math.ceil(cfg.concurrency / entries),
    )
