"""Tracks which instances are live, and how a process pauses, drains and leaves."""

from ._drain import Drain
from ._drain_machine import DrainState, DrainStep
from ._engine_commands import (
    ENGINE_LEASE,
    CommandDone,
    CommandEffect,
    CommandFailed,
    CommandKind,
    EngineCommand,
    EngineCommands,
    ObservedEngineState,
    ReadEngine,
    SendCommand,
    SendResult,
)
from ._fleet_messages import (
    FleetEffect,
    MemberFound,
    MemberLeft,
    MemberLost,
    NewerConfigSeen,
    StateChanged,
)
from ._fleet_view import FleetView
from ._heartbeat import (
    HeartbeatEffect,
    HeartbeatSender,
    HeartbeatTiming,
    PullConfig,
    SendReport,
)
from ._leases import HeldLeases, Lease, PauseDetector
from ._member import Member, MemberState
from ._timing import MembershipTiming
from ._weight_loading import (
    LoadEffect,
    LoadFailed,
    LoadingLimits,
    StartLoad,
    WeightLoading,
    Weights,
)

__all__ = [
    "ENGINE_LEASE",
    "CommandDone",
    "CommandEffect",
    "CommandFailed",
    "CommandKind",
    "Drain",
    "DrainState",
    "DrainStep",
    "EngineCommand",
    "EngineCommands",
    "FleetEffect",
    "FleetView",
    "HeartbeatEffect",
    "HeartbeatSender",
    "HeartbeatTiming",
    "HeldLeases",
    "Lease",
    "LoadEffect",
    "LoadFailed",
    "LoadingLimits",
    "Member",
    "MemberFound",
    "MemberLeft",
    "MemberLost",
    "MemberState",
    "MembershipTiming",
    "NewerConfigSeen",
    "ObservedEngineState",
    "PauseDetector",
    "PullConfig",
    "ReadEngine",
    "SendCommand",
    "SendReport",
    "SendResult",
    "StartLoad",
    "StateChanged",
    "WeightLoading",
    "Weights",
]
