"""The configuration of a deployment and the rules by which it changes."""

from ._configuration import (
    ApiKeyConfig,
    BackendServerConfig,
    CallPattern,
    Configuration,
    LinkConfig,
    OperatorKeyConfig,
    RegionConfig,
    ServiceConfig,
    ServiceKind,
    WorkspaceConfig,
)

__all__ = [
    "ApiKeyConfig",
    "BackendServerConfig",
    "CallPattern",
    "Configuration",
    "LinkConfig",
    "OperatorKeyConfig",
    "RegionConfig",
    "ServiceConfig",
    "ServiceKind",
    "WorkspaceConfig",
]
