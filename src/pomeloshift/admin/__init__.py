"""The administration API of entries."""

from ._access import AdminNotFoundError, Role, RoleError
from ._api import AdminApi
from ._audit import AUDIT_STREAM, AuditEntry, AuditLog
from ._authenticate import OperatorGate
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
from ._route import PREFIX
from ._routes import ROUTES
from ._views import BurnView, FleetView, JobsView, QuarantinedView

__all__ = [
    "AUDIT_STREAM",
    "PREFIX",
    "ROUTES",
    "AdminApi",
    "AdminNotFoundError",
    "AuditEntry",
    "AuditLog",
    "BurnView",
    "ConfigPublisher",
    "DrainAnswer",
    "FleetView",
    "InstanceList",
    "InstanceView",
    "IssueAnswer",
    "IssueRequest",
    "JobList",
    "JobView",
    "JobsView",
    "KeyList",
    "OperatorGate",
    "PublishAnswer",
    "PublishRequest",
    "QuarantineView",
    "QuarantinedView",
    "Role",
    "RoleError",
    "StatusView",
]
