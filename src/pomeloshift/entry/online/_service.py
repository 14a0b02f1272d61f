"""Admits and runs callers' online requests at an entry."""

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
from ._admission_queue import AdmissionQueue
from ._errors import NotReadyError, QuarantinedError
from ._finished import FinishedRequest
from ._request_run import RequestRun
from ._route_chooser import RouteChooser
from ._sidecar_client import SidecarClient

READY_RETRY_S = 1.0
# Estimated size of a response per token, for the budget of the inter-region link.
RESPONSE_BYTES_PER_TOKEN = 200


class OnlineService:
    """The online requests of one entry.

    ``current_config`` returns the configuration in force, or `None` before there is
    one. ``on_finished`` is called at the end of every admitted request.
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
        self._queues: dict[str, AdmissionQueue] = {}
        self._open_count = 0

    @property
    def open_requests(self) -> int:
        """The number of admitted requests that have not ended."""
        return self._open_count

    def configuration(self) -> Configuration:
        """Returns the configuration in force; raises `NotReadyError`."""
        cfg = self._current_config()
        if cfg is None:
            raise NotReadyError(
                "this entry has no configuration yet", retry_after_s=READY_RETRY_S
            )
        return cfg

    def new_request_id(self) -> str:
        """Returns a unique request id."""
        return f"{self.name}-{self._rng.getrandbits(96):024x}"

    @property
    def config_version(self) -> int:
        """The version of the configuration in force."""
        return self._config_version()

    def deadline_at(self, service: ServiceConfig) -> float:
        """Returns the deadline of a request that arrives now, in monotonic seconds.

        By this time the request needs the first byte of its response.
        """
        return self._clock.monotonic() + service.online_deadline_s

    async def handle(
        self,
        req: Request,
        spec: RequestSpec,
        service: ServiceConfig,
        prefix: str = "",
    ) -> None:
        """Runs a request and writes its response to ``req``.

        Raises a `PomeloshiftError` for a request that is rejected before it runs.
        """
        started_at = self._clock.monotonic()
        self._check_quarantine(spec, started_at)
        queue = self._queue(service.name)
        if not await self._admit(req, spec, queue):
            return
        chooser = self._chooser(spec, service, prefix)
        core = OnlineRequest(spec, chooser, queue.budget, self._rng, self._cfg)
        run = RequestRun(
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
        self._open_count += 1
        try:
            await run.run_to_end()
        finally:
            self._open_count -= 1
            target_s = service.first_token_target_s
            queue.record_end(spec.request_id, run.load_outcome(target_s))
            self._on_finished(run.summary())

    async def close(self) -> None:
        """Closes the idle connections to sidecars."""
        await self._client.close()

    async def _admit(
        self, req: Request, spec: RequestSpec, queue: AdmissionQueue
    ) -> bool:
        waiting = queue.admit(spec)
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
                "the request is quarantined: equal requests crashed backend servers",
                retry_after_s=self.suspects.quarantined_for(spec.fingerprint, now),
            )

    def _chooser(
        self, spec: RequestSpec, service: ServiceConfig, prefix: str
    ) -> RouteChooser:
        self._router.apply_link(self.configuration().link)
        response_bytes = spec.max_tokens * RESPONSE_BYTES_PER_TOKEN
        query = RouteQuery(
            spec.service,
            Priority.ONLINE,
            spec.prompt_tokens,
            spec.max_tokens,
            service.online_deadline_s,
            prefix,
            len(spec.body) + response_bytes,
            first_token_s=service.first_token_target_s,
        )
        return RouteChooser(
            self._router, self.suspects, query, spec.fingerprint, spec.deadline_at
        )

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = AdmissionQueue(self._workspace, self._reactor, self._clock)
            self._queues[service] = queue
        return queue

    def _workspace(self, name: str) -> WorkspaceConfig:
        cfg = self._current_config()
        found = cfg.workspace(name) if cfg is not None else None
        return _share_limits(found or WorkspaceConfig(name), self._router.entries)


def _share_limits(cfg: WorkspaceConfig, entries: int) -> WorkspaceConfig:
    """Divides a workspace's limits among the entries."""
    return attrs.evolve(
        cfg,
        requests_per_s=cfg.requests_per_s / entries,
        concurrency=math.ceil(cfg.concurrency / entries),
    )
