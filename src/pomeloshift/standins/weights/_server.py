"""Serves the weight store's stand-in over HTTP."""

from typing import Any

from klein import Klein
from twisted.internet.task import deferLater
from twisted.web.server import Request

from ...errors import ErrorCode, PomeloshiftError, Ran
from ...net import Clock
from ...net._http import handles_errors, respond_json
from ._model import WeightModel
from ._settings import WeightsSettings


class WeightsRateError(PomeloshiftError):
    """The store's rate limit of loads is exceeded."""

    code = ErrorCode.RATE_LIMITED
    ran = Ran.NO


class UnknownWeightsError(PomeloshiftError):
    """The store has no such model."""

    code = ErrorCode.UNKNOWN_MODEL
    ran = Ran.NO


class WeightsServer:
    """The HTTP interface of the weight store.

    ``GET /weights/{model}/{version}`` responds after ``load_s`` when the load is
    complete. Beyond the rate limit it responds with 429 and ``Retry-After``, and with
    404 for an unknown model. ``GET /loads`` returns the counts of started and refused
    loads.
    """

    def __init__(self, settings: WeightsSettings, reactor: Any, clock: Clock) -> None:
        self.model = WeightModel(settings.loads_per_s, settings.burst)
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._app = Klein()
        self._add_routes()

    @property
    def resource(self) -> Any:
        """The web resource to pass to `pomeloshift.net._serve.serve`."""
        return self._app.resource()

    def _add_routes(self) -> None:
        route = self._app.route
        load = handles_errors(self._load)
        route("/weights/<model>/<version>", methods=["GET"])(load)
        route("/loads", methods=["GET"])(handles_errors(self._loads))

    async def _load(self, req: Request, model: str, version: str) -> bytes:
        if model not in self._settings.models:
            raise UnknownWeightsError(f"the store has no model {model!r}")
        wait_s = self.model.start_load(self._clock.monotonic())
        if wait_s is not None:
            raise WeightsRateError(
                "the rate limit of loads is exceeded", retry_after_s=wait_s
            )
        await deferLater(self._reactor, self._settings.load_s, lambda: None)
        return respond_json(req, {"model": model, "version": version})

    async def _loads(self, req: Request) -> bytes:
        counts = {"started": self.model.started, "refused": self.model.refused}
        return respond_json(req, counts)
