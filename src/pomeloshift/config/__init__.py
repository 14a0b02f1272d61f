"""The configuration of a deployment and the rules for its publication."""

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
from ._conflict import ConfigConflictError
from ._document import (
    ConfigDocumentError,
    decode_configuration,
    encode_configuration,
)
from ._holder import ConfigHolder
from ._keys import digest_key, format_token, make_api_key, make_operator_key
from ._merge import merge_keys
from ._published import CONFIG_STREAM, ConfigCheckpoint, ConfigPublished
from ._reduce import reduce_for
from ._state import REFUSED, ConfigState
from ._version import ConfigVersion

__all__ = [
    "CONFIG_STREAM",
    "REFUSED",
    "ApiKeyConfig",
    "BackendServerConfig",
    "CallPattern",
    "ConfigCheckpoint",
    "ConfigConflictError",
    "ConfigDocumentError",
    "ConfigHolder",
    "ConfigPublished",
    "ConfigState",
    "ConfigVersion",
    "Configuration",
    "LinkConfig",
    "OperatorKeyConfig",
    "RegionConfig",
    "ServiceConfig",
    "ServiceKind",
    "WorkspaceConfig",
    "decode_configuration",
    "digest_key",
    "encode_configuration",
    "format_token",
    "make_api_key",
    "make_operator_key",
    "merge_keys",
    "reduce_for",
]
