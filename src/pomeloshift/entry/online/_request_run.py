"""Runs one admitted request and records its results."""

from typing import Any

from loguru import logger
from twisted.web.server import Request

from ...attempts import (
    BecameSuspect,
    Complete,
    Deliver,
    Fail,
    OnlineEffect,
    OnlineRequest,
    OpenAttempt,
    RequestSpec,
    ServerFailed,
    ServerFault,
    SuspectTracker,
)
from ...errors import ErrorCode, ErrorReport
from ...limits import Outcome
from ...net import Clock
from ...routing import Router
from ._attempt_counter import AttemptCounter
from ._finished import FinishedRequest
from ._request_driver import RequestDriver
from ._sidecar_client import SidecarClient


class RequestRun:
    """Runs a request and reports its attempts to the router and suspect tracker."""

    def __init__(
        self,
        spec: RequestSpec,
        core: OnlineRequest,
        req: Request,
        client: SidecarClient,
        reactor: Any,
        clock: Clock,
        router: Router,
        suspects: SuspectTracker,
        started_at: float,
    ) -> None:
        self._admitted_at = clock.monotonic()
        self._spec = spec
        self._clock = clock
        self._router = router
        self._suspects = suspects
        self._started_at = started_at
        self._first_token_s: float | None = None
        self._tokens = 0
        self._error: ErrorReport | None = None
        self._is_complete = False
        self._attempt_ids: set[str] = set()
        self._backend_server = ""
        self._region = ""
        tokens = spec.prompt_tokens + spec.max_tokens
        self._attempt_counter = AttemptCounter(
            router, suspects, spec.fingerprint, tokens
        )
        self._driver = RequestDriver(core, req, client, reactor, clock, self._on_effect)

    async def run_to_end(self) -> None:
        """Runs the request and returns when it has ended."""
        fingerprint = self._spec.fingerprint
        self._suspects.watch(fingerprint, self._on_became_suspect)
        try:
            self._driver.start()
            await self._driver.done
        finally:
            self._suspects.unwatch(fingerprint, self._on_became_suspect)
        self._attempt_counter.record_end()

    def _on_became_suspect(self) -> None:
        self._driver.feed(BecameSuspect())

    def summary(self) -> FinishedRequest:
        """Returns the summary of the ended request."""
        return FinishedRequest(
            self._spec.request_id,
            self._spec.workspace,
            self._spec.service,
            self._clock.monotonic() - self._started_at,
            self._first_token_s,
            self._tokens,
            None if self._error is None else self._error.code,
            caller_gone=not self._is_complete and self._error is None,
            attempts=len(self._attempt_ids),
            backend_server=self._backend_server,
            region=self._region,
            stream=self._spec.stream,
        )

    def load_outcome(self, first_token_target_s: float) -> Outcome:
        """Returns what the request's end indicates about the service's load.

        The time in this entry's admission queue does not count towards the target.
        """
        if self._error is not None:
            is_overloaded = self._error.code is ErrorCode.OVERLOADED
            return Outcome.REFUSED if is_overloaded else Outcome.OTHER
        if not self._is_complete or self._first_token_s is None:
            return Outcome.OTHER
        queued_s = self._admitted_at - self._started_at
        waited_s = self._first_token_s - queued_s
        is_in_time = waited_s <= first_token_target_s or not self._spec.stream
        return Outcome.IN_TIME if is_in_time else Outcome.TOO_LATE

    def _on_effect(self, effect: OnlineEffect) -> None:
        match effect:
            case OpenAttempt():
                self._attempt_counter.record_start(effect)
                self._attempt_ids.add(effect.request.attempt_id)
                self._backend_server = effect.instance.name
                self._region = effect.instance.place.region
            case Deliver(tokens=tokens):
                self._record_delivery(tokens)
            case ServerFailed():
                self._handle_server_fault(effect)
            case Complete():
                self._is_complete = True
                self._suspects.finished(self._spec.fingerprint, self._now())
            case Fail(error=error):
                self._error = error
                self._log_failure(error)

    def _record_delivery(self, tokens: int) -> None:
        self._tokens += tokens
        if self._first_token_s is None:
            self._first_token_s = self._now() - self._started_at
            self._router.mark_responsive(self._attempt_counter.server)

    def _handle_server_fault(self, effect: ServerFailed) -> None:
        name = effect.instance.name
        logger.warning(
            "event=backend_server_failed instance={} fault={} request={}",
            name,
            effect.fault.value,
            self._spec.request_id,
        )
        if effect.fault is ServerFault.LEAVING:
            self._router.mark_leaving(name)
            return
        self._router.mark_failed(name, self._now())
        if effect.fault is ServerFault.CRASHED:
            incident = effect.incident or self._incident_of_instance(name)
            self._suspects.crashed(self._spec.fingerprint, incident, self._now())
        self._attempt_counter.record_end()

    def _incident_of_instance(self, name: str) -> str:
        """Returns the incident id of a lost instance, the same at all entries."""
        return f"{name}/{self._router.incarnation(name)}"

    def _log_failure(self, error: ErrorReport) -> None:
        logger.info(
            "event=request_failed request={} code={} ran={}",
            self._spec.request_id,
            error.code.value,
            error.ran.value,
        )

    def _now(self) -> float:
        return self._clock.monotonic()
