"""Decision cores of the gateway, an entry that sends requests to engines itself.

They decide admission, placement and retries, and hold the state that these decisions
need. They do no I/O: the caller passes in what happened and the time. Times named
``now`` or ending in ``_at`` are monotonic seconds of the caller.
"""

from ._admission import OnlineAdmission
from ._attempt_plan import AttemptPlan, Step
from ._capacity_model import CapacityModel
from ._config_holder import ConfigHolder
from ._crash_causes import SuspectPart, find_causes
from ._crash_circumstances import CrashCircumstances
from ._crash_keys import CrashKeys, is_part
from ._engine import Engine
from ._engine_limit import EngineLimit, LimitReport
from ._engine_load import EngineLoad, EngineReport
from ._engine_record import EngineRecord
from ._event_stream import (
    EVENT_STREAM,
    MAX_EVENT_BYTES,
    EventSplitter,
    OversizedEventError,
    StreamEvent,
)
from ._fingerprint import fingerprint
from ._fleet import EXPIRY_GRACE_S, Fleet
from ._isolation import is_isolated
from ._peer_loads import (
    NO_REQUESTS,
    PEER_VALID_S,
    SILENT_CLAIMS_S,
    PeerLoads,
    PeerState,
    RateReport,
    RequestCounters,
    RequestCounts,
)
from ._peer_view import PeerView
from ._placement import Placement, PlacementConfig
from ._quarantine import Quarantine, QuarantineConfig, TrialDelay
from ._retry_after import RetryAfter
from ._route import Route, RouteKind, Split
from ._serving_config import HttpLimits, Service, ServingConfig
from ._silent_runs import SilentRun, SilentRuns
from ._software_version import SoftwareVersion
from ._stop_window import StopWindow
from ._store_path import DIRECT, StorePath
from ._stream_versions import StreamVersions, stream_key
from ._watched_runs import WatchedRun, WatchedRuns
from ._workspace import Workspace

__all__ = [
    "DIRECT",
    "EVENT_STREAM",
    "EXPIRY_GRACE_S",
    "MAX_EVENT_BYTES",
    "NO_REQUESTS",
    "AttemptPlan",
    "CapacityModel",
    "ConfigHolder",
    "CrashCircumstances",
    "CrashKeys",
    "Engine",
    "EngineLimit",
    "EngineLoad",
    "EngineRecord",
    "EngineReport",
    "EventSplitter",
    "Fleet",
    "HttpLimits",
    "LimitReport",
    "OnlineAdmission",
    "OversizedEventError",
    "PEER_VALID_S",
    "PeerLoads",
    "PeerState",
    "PeerView",
    "Placement",
    "PlacementConfig",
    "Quarantine",
    "QuarantineConfig",
    "RateReport",
    "RequestCounters",
    "RequestCounts",
    "SILENT_CLAIMS_S",
    "RetryAfter",
    "Route",
    "RouteKind",
    "Service",
    "ServingConfig",
    "SilentRun",
    "SilentRuns",
    "SoftwareVersion",
    "Split",
    "Step",
    "StopWindow",
    "StorePath",
    "StreamEvent",
    "StreamVersions",
    "SuspectPart",
    "TrialDelay",
    "WatchedRun",
    "WatchedRuns",
    "Workspace",
    "find_causes",
    "fingerprint",
    "is_isolated",
    "is_part",
    "stream_key",
]
