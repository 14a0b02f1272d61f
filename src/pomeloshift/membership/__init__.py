"""Tracks which instances are live, and how a process pauses, drains and leaves."""

from ._drain import Drain
from ._drain_machine import DrainState, DrainStep
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
from ._orders import (
    ENGINE_LEASE,
    EngineOrders,
    EngineReading,
    Order,
    OrderDone,
    OrderEffect,
    OrderFailed,
    OrderKind,
    ReadEngine,
    SendOrder,
    SendResult,
)
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
    "Drain",
    "DrainState",
    "DrainStep",
    "EngineOrders",
    "EngineReading",
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
    "Order",
    "OrderDone",
    "OrderEffect",
    "OrderFailed",
    "OrderKind",
    "PauseDetector",
    "PullConfig",
    "ReadEngine",
    "SendOrder",
    "SendReport",
    "SendResult",
    "StartLoad",
    "StateChanged",
    "WeightLoading",
    "Weights",
]
