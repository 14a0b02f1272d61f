"""The administration API of entries."""

from ._access import AdminNotFoundError, Role, RoleError
from ._api import AdminApi
from ._audit import AUDIT_STREAM, AuditEntry, AuditLog
from ._authenticate import OperatorAuthenticator
from ._config_service import ConfigPublisher
from ._messages import (
    DrainAnswer,
    InstanceList,
    InstanceView,
    IssueAnswer,
    IssueRequest,
    JobList,
    JobView,
    KeyList,
    PublishAnswer,
    PublishRequest,
    QuarantineView,
    StatusView,
)
from ._providers import (
    BurnProvider,
    FleetProvider,
    JobProvider,
    QuarantineProvider,
)
from ._route import PREFIX
from ._routes import ROUTES

__all__ = [
    "AUDIT_STREAM",
    "PREFIX",
    "ROUTES",
    "AdminApi",
    "AdminNotFoundError",
    "AuditEntry",
    "AuditLog",
    "BurnProvider",
    "ConfigPublisher",
    "DrainAnswer",
    "FleetProvider",
    "InstanceList",
    "InstanceView",
    "IssueAnswer",
    "IssueRequest",
    "JobList",
    "JobProvider",
    "JobView",
    "KeyList",
    "OperatorAuthenticator",
    "PublishAnswer",
    "PublishRequest",
    "QuarantineProvider",
    "QuarantineView",
    "Role",
    "RoleError",
    "StatusView",
]
