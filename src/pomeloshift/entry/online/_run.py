"""One admitted request with everything that is counted about it."""

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
from ._exchange import Exchange
from ._finished import FinishedRequest
from ._ledger import Ledger
from ._sidecar_client import SidecarClient


class Run:
    """Carries a request to its end and keeps router and suspects informed."""

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
        self._complete = False
        self._attempt_ids: set[str] = set()
        self._backend_server = ""
        self._region = ""
        tokens = spec.prompt_tokens + spec.max_tokens
        self._ledger = Ledger(router, suspects, spec.fingerprint, tokens)
        self._exchange = Exchange(core, req, client, reactor, clock, self._observe)

    async def finish(self) -> None:
        """Runs the request to its end."""
        fingerprint = self._spec.fingerprint
        self._suspects.watch(fingerprint, self._become_suspect)
        try:
            self._exchange.start()
            await self._exchange.done
        finally:
            self._suspects.unwatch(fingerprint, self._become_suspect)
        self._ledger.close()

    def _become_suspect(self) -> None:
        self._exchange.feed(BecameSuspect())

    def summary(self) -> FinishedRequest:
        """Returns the account of the ended request."""
        return FinishedRequest(
            self._spec.request_id,
            self._spec.workspace,
            self._spec.service,
            self._clock.monotonic() - self._started_at,
            self._first_token_s,
            self._tokens,
            None if self._error is None else self._error.code,
            caller_gone=not self._complete and self._error is None,
            attempts=len(self._attempt_ids),
            backend_server=self._backend_server,
            region=self._region,
            stream=self._spec.stream,
        )

    def outcome(self, first_token_target_s: float) -> Outcome:
        """Tells what the end says about the service's load.

        The time in this entry's own queue does not count.
        """
        if self._error is not None:
            overloaded = self._error.code is ErrorCode.OVERLOADED
            return Outcome.REFUSED if overloaded else Outcome.OTHER
        if not self._complete or self._first_token_s is None:
            return Outcome.OTHER
        queued_s = self._admitted_at - self._started_at
        waited_s = self._first_token_s - queued_s
        in_time = waited_s <= first_token_target_s or not self._spec.stream
        return Outcome.IN_TIME if in_time else Outcome.TOO_LATE

    def _observe(self, effect: OnlineEffect) -> None:
        match effect:
            case OpenAttempt():
                self._ledger.opened(effect)
                self._attempt_ids.add(effect.request.attempt_id)
                self._backend_server = effect.instance.name
                self._region = effect.instance.place.region
            case Deliver(tokens=tokens):
                self._deliver(tokens)
            case ServerFailed():
                self._blame(effect)
            case Complete():
                self._complete = True
                self._suspects.finished(self._spec.fingerprint, self._now())
            case Fail(error=error):
                self._error = error
                self._log_failure(error)

    def _deliver(self, tokens: int) -> None:
        self._tokens += tokens
        if self._first_token_s is None:
            self._first_token_s = self._now() - self._started_at
            self._router.clear(self._ledger.server)

    def _blame(self, effect: ServerFailed) -> None:
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
        self._router.mark_suspect(name, self._now())
        if effect.fault is ServerFault.CRASHED:
            crash = effect.incident or self._name_of_loss(name)
            self._suspects.crashed(self._spec.fingerprint, crash, self._now())
        self._ledger.close()

    def _name_of_loss(self, name: str) -> str:
        """Names the loss of a whole instance, alike at all entries."""
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
