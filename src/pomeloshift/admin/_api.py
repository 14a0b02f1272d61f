"""The administration API of an entry."""

import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from klein import Klein
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException

from ..config import Configuration, decode_configuration
from ..errors import PomeloshiftError
from ..net._http import InvalidRequestError, respond_json
from . import _messages as m
from ._access import AdminNotFoundError, NoSloAccountingError, Role
from ._audit import AuditLog
from ._authenticate import OperatorAuthenticator
from ._call import AdminCall, parse_whole_number, query_of, target_of
from ._config_admin import ConfigAdmin
from ._config_service import ConfigPublisher
from ._key_admin import KeyAdmin
from ._openapi import describe
from ._operator import Operator
from ._providers import (
    BurnProvider,
    FleetProvider,
    JobProvider,
    QuarantineProvider,
)
from ._responses import read_message, respond_error, with_error_responses
from ._route import Route
from ._routes import ROUTES

DEFAULT_JOBS = 100
MAX_JOBS = 1000


class AdminApi:
    """Serves all routes under ``/admin/v1`` as ``resource``.

    ``authenticator`` authenticates operators, ``config`` publishes configurations, and
    the providers give access to the rest of the entry. ``new_secret`` returns long
    random hexadecimal text. Without ``burn`` the routes of SLO accounting respond with
    an error.
    """

    def __init__(
        self,
        authenticator: OperatorAuthenticator,
        config: ConfigPublisher,
        fleet: FleetProvider,
        jobs: JobProvider,
        quarantined: QuarantineProvider,
        audit: AuditLog,
        new_secret: Callable[[], str],
        burn: BurnProvider | None = None,
    ) -> None:
        self._burn = burn
        self._authenticator = authenticator
        self._service = config
        self._config = ConfigAdmin(config)
        self._keys = KeyAdmin(config, new_secret)
        self._fleet = fleet
        self._jobs = jobs
        self._quarantined = quarantined
        self._audit = audit
        self._app = Klein()
        for route in ROUTES:
            self._add(route)
        register: Any = self._app.handle_errors(HTTPException)
        register(_respond_http_exception)

    @property
    def resource(self) -> Any:
        """The Klein resource of all routes; it expects full request paths."""
        return self._app.resource()

    async def get_openapi(self, call: AdminCall) -> Any:
        """Returns the OpenAPI description of this API."""
        return describe(ROUTES)

    async def get_deployment(self, call: AdminCall) -> Any:
        """Returns the parts of the deployment and the version in force."""
        return self._config.deployment()

    async def get_status(self, call: AdminCall) -> Any:
        """Returns whether the version in force has reached all instances."""
        cfg = self._service.current
        version = self._service.version
        instances = self._fleet.instances()
        outdated = [i.name for i in instances if i.config_version < version]
        return m.StatusView(
            cfg.deployment if cfg is not None else "",
            version,
            len(instances),
            tuple(sorted(outdated)),
            cfg is not None,
        )

    async def get_configuration(self, call: AdminCall) -> Any:
        """Returns the configuration in force."""
        return _without_digests(self._config.in_force())

    async def publish_configuration(self, call: AdminCall) -> Any:
        """Publishes a questionnaire."""
        version = await self._config.publish(call.operator, call.body)
        return m.PublishAnswer(version)

    async def list_versions(self, call: AdminCall) -> Any:
        """Returns the recent versions."""
        return self._config.versions()

    async def get_version(self, call: AdminCall) -> Any:
        """Returns the configuration of a recent version."""
        version = parse_whole_number("version", call.arguments["version"])
        return _without_digests(decode_configuration(self._config.document(version)))

    async def list_workspaces(self, call: AdminCall) -> Any:
        """Returns all workspaces."""
        return self._config.workspaces()

    async def list_keys(self, call: AdminCall) -> Any:
        """Returns all keys in force."""
        return self._keys.list()

    async def issue_key(self, call: AdminCall) -> Any:
        """Issues a key or a token."""
        return await self._keys.issue(call.operator.name, call.body)

    async def revoke_key(self, call: AdminCall) -> Any:
        """Revokes a key."""
        key_id = call.arguments["key_id"]
        return m.ChangeAnswer(await self._keys.revoke(call.operator.name, key_id))

    async def rotate_key(self, call: AdminCall) -> Any:
        """Replaces a key with a new one."""
        return await self._keys.rotate(call.operator.name, call.arguments["key_id"])

    async def list_instances(self, call: AdminCall) -> Any:
        """Returns all instances."""
        return m.InstanceList(tuple(self._fleet.instances()))

    async def drain_instance(self, call: AdminCall) -> Any:
        """Sends a drain command to an instance."""
        name = call.arguments["name"]
        return m.DrainAnswer(name, await self._fleet.drain(name))

    async def list_jobs(self, call: AdminCall) -> Any:
        """Returns the newest batch jobs."""
        limit = parse_whole_number("limit", call.query.get("limit", str(DEFAULT_JOBS)))
        if not 1 <= limit <= MAX_JOBS:
            raise InvalidRequestError(f"limit must be from 1 to {MAX_JOBS}")
        workspace = call.query.get("workspace", "")
        return m.JobList(tuple(await self._jobs.list_jobs(workspace, limit)))

    async def get_job(self, call: AdminCall) -> Any:
        """Returns a batch job."""
        return await self._jobs.get_job(call.arguments["job_id"])

    async def cancel_job(self, call: AdminCall) -> Any:
        """Cancels a batch job."""
        return await self._jobs.cancel_job(call.arguments["job_id"])

    async def list_quarantined(self, call: AdminCall) -> Any:
        """Returns all quarantined requests."""
        return m.QuarantineList(tuple(self._quarantined.quarantined()))

    async def release_quarantined(self, call: AdminCall) -> Any:
        """Lifts a quarantine."""
        await self._quarantined.release(call.arguments["fingerprint"])
        return m.Done()

    async def get_burn(self, call: AdminCall) -> Any:
        """Returns the burn report over all entries."""
        return await self._burn_provider().report()

    async def get_pending_burn(self, call: AdminCall) -> Any:
        """Returns the counts of this entry that are not yet in the log."""
        return self._burn_provider().pending()

    def _burn_provider(self) -> BurnProvider:
        if self._burn is None:
            raise NoSloAccountingError("this entry does no SLO accounting")
        return self._burn

    def _add(self, route: Route) -> None:
        handler: Callable[[AdminCall], Awaitable[Any]] = getattr(self, route.name)

        @with_error_responses
        async def handle(req: Request, **arguments: str) -> bytes:
            operator = self._identify(req, route)
            body = read_message(req, route.request) if route.request else None
            call = AdminCall(operator, body, arguments, query_of(req))
            if not route.audit:
                response = await handler(call)
            else:
                response = await self._run_audited(route, call, handler)
            return respond_json(req, response, route.status)

        path = re.sub(r"\{(\w+)\}", r"<\1>", route.full_path)
        self._app.route(path, methods=[route.method], endpoint=route.name)(handle)

    def _identify(self, req: Request, route: Route) -> Operator:
        if route.role is None:
            return _ANONYMOUS
        header = req.getHeader("authorization")
        operator = self._authenticator.identify(header, self._service.version)
        operator.require(route.role)
        return operator

    async def _run_audited(
        self,
        route: Route,
        call: AdminCall,
        handler: Callable[[AdminCall], Awaitable[Any]],
    ) -> Any:
        target = target_of(call)
        outcome = "internal"
        try:
            response = await handler(call)
            outcome = "ok"
            return response
        except PomeloshiftError as exc:
            outcome = exc.code.value
            raise
        finally:
            self._audit.write(call.operator.name, route.audit, target, outcome)


def _without_digests(cfg: Configuration) -> Configuration:
    return attrs.evolve(
        cfg,
        api_keys=tuple(attrs.evolve(k, salt="", digest="") for k in cfg.api_keys),
        operator_keys=tuple(
            attrs.evolve(k, salt="", digest="") for k in cfg.operator_keys
        ),
    )


def _respond_http_exception(req: Request, failure: Any) -> bytes:
    error = failure.value
    if error.code == 404:
        return respond_error(req, AdminNotFoundError("there is no such path"))
    message = f"the path does not support {req.method.decode()}"
    return respond_error(req, InvalidRequestError(message))


_ANONYMOUS = Operator("", Role.VIEWER)
