"""Serves the instance list's stand-in over HTTP."""

from typing import Any

import msgspec
from klein import Klein
from twisted.web.server import Request

from ...model import Instance
from ...net import Clock
from ...net._http import InvalidRequestError, handles_errors, read_body, respond_json
from ._model import ListModel
from ._settings import ListSettings


class _Lag(msgspec.Struct):
    """The body of a request that changes the lag."""

    lag_s: float


class LiveListServer:
    """The HTTP interface of the instance list.

    ``GET /instances`` returns the list as shown now. ``PUT /instances/{name}`` and
    ``DELETE /instances/{name}`` change it, and ``PUT /lag`` sets ``lag_s``. The
    instances of the settings are shown from the start, without the lag.
    """

    def __init__(self, settings: ListSettings, reactor: Any, clock: Clock) -> None:
        self.model = ListModel()
        self._clock = clock
        self._app = Klein()
        self._add_routes()
        for instance in settings.instances:
            self.model.put(instance, clock.monotonic())
        self.model.instances(clock.monotonic())
        self.model.lag_s = settings.lag_s

    @property
    def resource(self) -> Any:
        """The web resource to pass to `pomeloshift.net._serve.serve`."""
        return self._app.resource()

    def _add_routes(self) -> None:
        route = self._app.route
        route("/instances", methods=["GET"])(handles_errors(self._list))
        route("/instances/<name>", methods=["PUT"])(handles_errors(self._put))
        route("/instances/<name>", methods=["DELETE"])(handles_errors(self._remove))
        route("/lag", methods=["PUT"])(handles_errors(self._set_lag))

    async def _list(self, req: Request) -> bytes:
        return respond_json(req, self.model.instances(self._clock.monotonic()))

    async def _put(self, req: Request, name: str) -> bytes:
        instance = _decode(req, Instance)
        if instance.name != name:
            raise InvalidRequestError("the body and the path name different instances")
        self.model.put(instance, self._clock.monotonic())
        return respond_json(req, instance)

    async def _remove(self, req: Request, name: str) -> bytes:
        self.model.remove(name, self._clock.monotonic())
        return respond_json(req, {"removed": name})

    async def _set_lag(self, req: Request) -> bytes:
        lag = _decode(req, _Lag)
        self.model.lag_s = lag.lag_s
        return respond_json(req, lag)


def _decode(req: Request, kind: type) -> Any:
    try:
        return msgspec.json.decode(read_body(req), type=kind)
    except msgspec.DecodeError as exc:
        raise InvalidRequestError(f"the body cannot be read: {exc}") from exc
