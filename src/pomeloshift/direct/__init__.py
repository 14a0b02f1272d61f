"""Decisions of an entry that sends requests to engines itself."""

from ._admission import Admission
from ._attempt_plan import AttemptPlan, Step
from ._config_holder import ConfigHolder
from ._engine import Engine
from ._engine_entry import EngineEntry
from ._engine_load import EngineLoad
from ._event_stream import EventSplitter, StreamEvent
from ._fleet import LAPSE_GRACE_S, Fleet
from ._isolation import is_cut_off
from ._peer_loads import NO_WORK, PeerLoads, PeerState, Work
from ._placement import Placement, PlacementConfig
from ._retry_after import ReturnTimes
from ._route import Route, RouteKind, Split
from ._serving_config import FrontLimits, Service, ServingConfig
from ._store_path import STRAIGHT, StorePath

__all__ = [
    "Admission",
    "STRAIGHT",
    "LAPSE_GRACE_S",
    "NO_WORK",
    "AttemptPlan",
    "ConfigHolder",
    "Engine",
    "EngineEntry",
    "EngineLoad",
    "EventSplitter",
    "Fleet",
    "FrontLimits",
    "PeerLoads",
    "PeerState",
    "Placement",
    "PlacementConfig",
    "ReturnTimes",
    "Route",
    "RouteKind",
    "Service",
    "ServingConfig",
    "Split",
    "Step",
    "StorePath",
    "StreamEvent",
    "Work",
    "is_cut_off",
]
