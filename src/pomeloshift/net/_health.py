"""Health and readiness of a process, and its metrics."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.web.server import Request

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._http import handles_errors, respond_json


class NotReadyError(PomeloshiftError):
    """The process is not ready to serve requests."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class PathNotFoundError(PomeloshiftError):
    """The process serves nothing at the requested path."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class HealthApi:
    """Serves ``/healthz``, ``/readyz`` and ``/metrics``.

    ``unready_reason`` returns why the process is not ready, or an empty string if it
    is ready. ``render_metrics`` returns the body of ``/metrics``.
    """

    app = Klein()

    def __init__(
        self,
        unready_reason: Callable[[], str],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._unready_reason = unready_reason
        self._render_metrics = render_metrics

    @property
    def resource(self) -> Any:
        """The Twisted resource; it expects full paths such as ``/healthz``."""
        return self.app.resource()

    @app.route("/healthz", methods=["GET"])
    @handles_errors
    async def health(self, req: Request) -> bytes:
        """Responds 200 as long as the process runs."""
        return respond_json(req, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    @handles_errors
    async def ready(self, req: Request) -> bytes:
        """Responds 200 if the process is ready to serve requests, 503 otherwise."""
        reason = self._unready_reason()
        if reason:
            raise NotReadyError(reason, retry_after_s=1.0)
        return respond_json(req, {"status": "ready"})

    @app.route("/metrics", methods=["GET"])
    @handles_errors
    async def metrics(self, req: Request) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        req.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self._render_metrics()

    @app.route("/", branch=True)
    @handles_errors
    async def missing(self, req: Request) -> bytes:
        """Responds 404 to every other path."""
        raise PathNotFoundError(f"nothing is served at {req.path.decode()}")
