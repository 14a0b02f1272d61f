"""Serves the plain service's stand-in over HTTP."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.server import Request

from ...net import Clock
from ...net._http import InvalidRequestError, handles_errors, read_body, respond_json
from ._call_counter import CallCounter
from ._fault import ServiceFault
from ._settings import ServiceSettings

CALL_ID_HEADERS = ("idempotency-key", "x-request-id")


class _Behaviour(msgspec.Struct):
    """The body of ``PUT /_behaviour``.

    ``delay_s`` is the time between the run of a call and its response, in seconds.
    """

    delay_s: float = 0.0
    fault: ServiceFault = ServiceFault.NONE


class PlainServiceServer:
    """Responds to any method and path, and counts the runs of each call.

    A call's id is its ``Idempotency-Key``, or else its ``X-Request-Id``. ``GET
    /_calls`` returns the counts, and under ``run_again`` the ids of calls that ran
    more than once. ``PUT /_behaviour`` sets ``delay_s`` and ``fault`` (a
    `ServiceFault`) for the calls that follow.
    """

    def __init__(self, settings: ServiceSettings, reactor: Any, clock: Clock) -> None:
        self.call_counter = CallCounter()
        self._behaviour = _Behaviour(delay_s=settings.delay_s)
        self._reactor = reactor
        self._app = Klein()
        self._add_routes()

    @property
    def resource(self) -> Any:
        """The web resource to pass to `pomeloshift.net._serve.serve`."""
        return self._app.resource()

    def _add_routes(self) -> None:
        route = self._app.route
        route("/_calls", methods=["GET"])(handles_errors(self._calls))
        route("/_behaviour", methods=["PUT"])(handles_errors(self._set_behaviour))
        route("/", branch=True)(handles_errors(self._call))

    async def _calls(self, req: Request) -> bytes:
        counts = self.call_counter.counts()
        repeated = [
            count.call_id for count in counts if count.runs > 1 and count.call_id
        ]
        return respond_json(req, {"calls": counts, "run_again": repeated})

    async def _set_behaviour(self, req: Request) -> bytes:
        try:
            self._behaviour = msgspec.json.decode(read_body(req), type=_Behaviour)
        except msgspec.DecodeError as exc:
            raise InvalidRequestError(f"the body cannot be read: {exc}") from exc
        return respond_json(req, self._behaviour)

    async def _call(self, req: Request) -> Any:
        behaviour = self._behaviour
        if behaviour.fault is ServiceFault.FAIL:
            return respond_json(req, {"failed": True}, 500)
        body = self._run(req)
        if behaviour.delay_s > 0:
            await deferLater(self._reactor, behaviour.delay_s, lambda: None)
        if behaviour.fault is ServiceFault.LOSE_ANSWER:
            _abort_connection(req)
            return b""
        if behaviour.fault is ServiceFault.HANG:
            await Deferred()
        return respond_json(req, body)

    def _run(self, req: Request) -> dict[str, Any]:
        call_id = _call_id(req)
        method = req.method.decode()
        path = req.path.decode()
        number = self.call_counter.record(call_id, method, path)
        return {
            "run": number,
            "call_id": call_id,
            "method": method,
            "path": path,
            "body": read_body(req).decode("utf-8", "replace"),
        }


def _call_id(req: Request) -> str:
    for header in CALL_ID_HEADERS:
        value = req.getHeader(header)
        if value:
            return value
    return ""


def _abort_connection(req: Request) -> None:
    channel: Any = req.channel
    if channel is not None and channel.transport is not None:
        channel.transport.abortConnection()
