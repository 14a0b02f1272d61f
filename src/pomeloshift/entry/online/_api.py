"""The callers' online interface over HTTP."""

from typing import Any

import xxhash
from klein import Klein
from twisted.web.server import Request

from ...attempts import RequestSpec
from ...config import Configuration, ServiceConfig, ServiceKind
from ...net._http import handles_errors, read_body, respond_json
from .._auth import Authenticator
from ._call_guard import CallGuard
from ._errors import GuardUnavailableError, UnknownModelError, UnknownServiceError
from ._headers import forwarded_headers, header
from ._model_call import ModelCall, read_model_call
from ._service import OnlineService

ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
SERVICE_PREFIX = "/v1/services/"
PLAIN_CALL_TOKENS = 1


class OnlineApi:
    """Serves models over the OpenAI protocol, and plain services.

    ``call_guard`` claims non-idempotent calls that have an ``Idempotency-Key``.
    Without a guard these calls are rejected with ``ran: no``.
    """

    app = Klein()

    def __init__(
        self,
        service: OnlineService,
        auth: Authenticator,
        call_guard: CallGuard | None = None,
    ) -> None:
        self._service = service
        self._auth = auth
        self._call_guard = call_guard

    @property
    def resource(self) -> Any:
        """The twisted resource; its routes include the ``/v1`` prefix."""
        return self.app.resource()

    @app.route("/v1/models", methods=["GET"])
    @handles_errors
    async def models(self, req: Request) -> bytes:
        """Lists the models of the configuration in force."""
        self._auth.workspace_for(req.getHeader("authorization"))
        cfg = self._service.configuration()
        models = [_model_fields(s) for s in cfg.services if _is_model(s)]
        return respond_json(req, {"object": "list", "data": models})

    @app.route("/v1/models/<model>", methods=["GET"])
    @handles_errors
    async def model(self, req: Request, model: str) -> bytes:
        """Describes one model; raises `UnknownModelError`."""
        self._auth.workspace_for(req.getHeader("authorization"))
        service = _find_model(self._service.configuration(), model)
        return respond_json(req, _model_fields(service))

    @app.route("/v1/chat/completions", methods=["POST"])
    @handles_errors
    async def chat_completions(self, req: Request) -> None:
        """Runs a chat completion, streamed or not."""
        await self._run_model(req, "/v1/chat/completions", "messages")

    @app.route("/v1/completions", methods=["POST"])
    @handles_errors
    async def completions(self, req: Request) -> None:
        """Runs a completion, streamed or not."""
        await self._run_model(req, "/v1/completions", "prompt")

    @app.route("/v1/services/<service>/", methods=ANY_METHOD)
    @app.route("/v1/services/<service>/<path:path>", methods=ANY_METHOD)
    @handles_errors
    async def call_service(self, req: Request, service: str, path: str = "") -> None:
        """Forwards a call to a plain service."""
        await self._run_plain(req, service)

    async def _run_model(self, req: Request, path: str, prompt_field: str) -> None:
        workspace = self._auth.workspace_for(req.getHeader("authorization"))
        cfg = self._service.configuration()
        body = read_body(req)
        call = read_model_call(body, prompt_field)
        service = _find_model(cfg, call.model)
        spec = self._model_spec(workspace, service, path, body, call)
        await self._service.handle(req, spec, service, call.prefix)

    def _model_spec(
        self,
        workspace: str,
        service: ServiceConfig,
        path: str,
        body: bytes,
        call: ModelCall,
    ) -> RequestSpec:
        return RequestSpec(
            request_id=self._service.new_request_id(),
            workspace=workspace,
            service=service.name,
            method="POST",
            path=path,
            body=body,
            deadline_at=self._service.deadline_at(service),
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens or service.max_output_tokens,
            stream=call.stream,
            fingerprint=_fingerprint(service.name, "POST", path, body),
            config_version=self._service.config_version,
        )

    async def _run_plain(self, req: Request, name: str) -> None:
        workspace = self._auth.workspace_for(req.getHeader("authorization"))
        service = _find_plain(self._service.configuration(), name)
        method = req.method.decode("ascii")
        # Still percent-encoded, so that the service receives the caller's path.
        path = "/" + req.uri.decode("ascii").split("/", 4)[-1]
        body = read_body(req)
        idempotent = service.is_repeatable(method, path.partition("?")[0])
        fingerprint = _fingerprint(name, method, path, body)
        if not idempotent:
            await self._claim(req, workspace, name, fingerprint)
        spec = RequestSpec(
            request_id=self._service.new_request_id(),
            workspace=workspace,
            service=name,
            method=method,
            path=path,
            body=body,
            deadline_at=self._service.deadline_at(service),
            prompt_tokens=PLAIN_CALL_TOKENS,
            max_tokens=PLAIN_CALL_TOKENS,
            idempotent=idempotent,
            content_type=header(req, "content-type"),
            headers=forwarded_headers(req),
            fingerprint=fingerprint,
            config_version=self._service.config_version,
        )
        await self._service.handle(req, spec, service)

    async def _claim(
        self, req: Request, workspace: str, service: str, fingerprint: str
    ) -> None:
        key = header(req, "idempotency-key")
        if not key:
            return
        if self._call_guard is None:
            raise GuardUnavailableError("the idempotency key cannot be claimed")
        await self._call_guard.claim(workspace, service, key, fingerprint)


def _is_model(service: ServiceConfig) -> bool:
    return service.kind is ServiceKind.MODEL


def _find_model(cfg: Configuration, name: str) -> ServiceConfig:
    service = cfg.service(name)
    if service is None or not _is_model(service):
        raise UnknownModelError(f"no model {name!r} is served")
    return service


def _find_plain(cfg: Configuration, name: str) -> ServiceConfig:
    service = cfg.service(name)
    if service is None or _is_model(service):
        raise UnknownServiceError(f"no service {name!r} is served")
    return service


def _model_fields(service: ServiceConfig) -> dict[str, Any]:
    return {
        "id": service.name,
        "object": "model",
        "created": 0,
        "owned_by": "pomeloshift",
    }


def _fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    digest = xxhash.xxh3_128(f"{service}\0{method}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()
