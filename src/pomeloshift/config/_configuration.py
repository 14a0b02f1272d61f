"""The configuration that all processes of a deployment apply."""

from enum import Enum

import attrs
from attrs import validators as v


class ServiceKind(Enum):
    """Whether a service's engines serve a model or plain HTTP calls."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class CallPattern:
    """The calls of a plain service with a method and a path prefix.

    The method ``*`` matches any method.
    """

    method: str
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a call has this method and path prefix."""
        if self.method not in ("*", method.upper()):
            return False
        return path.startswith(self.path_prefix)


@attrs.frozen
class ServiceConfig:
    """One model or plain service.

    Targets and deadlines are in seconds. ``objective`` is the share of requests that
    must meet the targets. ``batch_weight`` is 0 if only online tail latency matters
    and 1 if only batch throughput matters. ``unrepeatable_calls`` are non-idempotent
    calls.
    """

    name: str = attrs.field(validator=v.min_len(1))
    kind: ServiceKind = ServiceKind.MODEL
    first_token_target_s: float = attrs.field(default=0.7, validator=v.gt(0))
    between_tokens_target_s: float = attrs.field(default=0.04, validator=v.gt(0))
    objective: float = attrs.field(default=0.95, validator=[v.gt(0), v.lt(1)])
    online_deadline_s: float = attrs.field(default=30.0, validator=v.gt(0))
    batch_weight: float = attrs.field(default=0.5, validator=[v.ge(0), v.le(1)])
    max_output_tokens: int = attrs.field(default=1024, validator=v.ge(1))
    unrepeatable_calls: tuple[CallPattern, ...] = ()

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a call is safe to retry when its outcome is unknown."""
        return not any(call.matches(method, path) for call in self.unrepeatable_calls)


@attrs.frozen
class WorkspaceConfig:
    """The share of capacity and the limits of one workspace."""

    name: str = attrs.field(validator=v.min_len(1))
    share: float = attrs.field(default=1.0, validator=v.gt(0))
    requests_per_s: float = attrs.field(default=100.0, validator=v.gt(0))
    concurrency: int = attrs.field(default=200, validator=v.ge(1))


@attrs.frozen
class ApiKeyConfig:
    """A caller's key; only the salt and the digest of the key are stored.

    ``issued_by`` names the operator who issued it over the administration API; it is
    empty for keys from the questionnaire.
    """

    key_id: str
    workspace: str
    salt: str
    digest: str
    issued_by: str = ""


@attrs.frozen
class OperatorKeyConfig:
    """An operator's token; the role is ``viewer``, ``operator`` or ``admin``."""

    key_id: str
    operator: str
    role: str = attrs.field(validator=v.in_(("viewer", "operator", "admin")))
    salt: str
    digest: str
    issued_by: str = ""


@attrs.frozen
class BackendServerConfig:
    """A backend server.

    ``checks_fencing`` states that its engine refuses commands with an old fencing
    token.
    """

    name: str
    service: str
    checks_fencing: bool = False


@attrs.frozen
class RegionConfig:
    """A region and its availability zones."""

    name: str
    availability_zones: tuple[str, ...]


@attrs.frozen
class LinkConfig:
    """The metered link between regions and its shares by class of work."""

    bytes_per_s: float = attrs.field(default=1_875_000.0, validator=v.gt(0))
    online_share: float = attrs.field(default=0.5, validator=[v.ge(0), v.le(1)])
    batch_share: float = attrs.field(default=0.1, validator=[v.ge(0), v.le(1)])


@attrs.frozen
class Configuration:
    """A complete configuration; one version of it is in force at any time.

    Keys whose ids are in ``revoked_keys`` are never accepted again, even if a later
    questionnaire contains them.
    """

    deployment: str
    regions: tuple[RegionConfig, ...] = ()
    services: tuple[ServiceConfig, ...] = ()
    workspaces: tuple[WorkspaceConfig, ...] = ()
    api_keys: tuple[ApiKeyConfig, ...] = ()
    operator_keys: tuple[OperatorKeyConfig, ...] = ()
    backend_servers: tuple[BackendServerConfig, ...] = ()
    link: LinkConfig = LinkConfig()
    result_retention_s: float = attrs.field(default=604800.0, validator=v.gt(0))
    revoked_keys: tuple[str, ...] = ()

    def service(self, name: str) -> ServiceConfig | None:
        """Returns the service of that name, or `None`."""
        return next((s for s in self.services if s.name == name), None)

    def workspace(self, name: str) -> WorkspaceConfig | None:
        """Returns the workspace of that name, or `None`."""
        return next((w for w in self.workspaces if w.name == name), None)
