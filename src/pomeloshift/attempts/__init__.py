"""Runs each attempt of a request at most once and delivers its response in order."""

from ._chooser import Budget, Chooser, Target
from ._crash_record import CrashRecord, QuarantineState
from ._effects import (
    AbandonAttempt,
    CloseConnection,
    Complete,
    Deliver,
    Fail,
    OnlineEffect,
    OpenAttempt,
    ServerFailed,
    ServerFault,
    SetTimer,
)
from ._errors import NotRunningError
from ._events import (
    AttemptAccepted,
    AttemptRefused,
    BecameSuspect,
    CallerDisconnected,
    CallerPaused,
    CallerResumed,
    ConnectionLost,
    FrameArrived,
    OnlineEvent,
    Started,
    Timer,
)
from ._online_config import OnlineConfig
from ._online_request import OnlineRequest
from ._open_result import OpenOutcome, OpenResult
from ._registry import AttemptRegistry
from ._registry_config import RegistryConfig
from ._request_spec import RequestSpec
from ._suspect_config import SuspectConfig
from ._suspects import SuspectTracker

__all__ = [
    "AbandonAttempt",
    "AttemptAccepted",
    "AttemptRefused",
    "AttemptRegistry",
    "BecameSuspect",
    "Budget",
    "CallerDisconnected",
    "CallerPaused",
    "CallerResumed",
    "Chooser",
    "CloseConnection",
    "Complete",
    "ConnectionLost",
    "CrashRecord",
    "Deliver",
    "Fail",
    "FrameArrived",
    "NotRunningError",
    "OnlineConfig",
    "OnlineEffect",
    "OnlineEvent",
    "OnlineRequest",
    "OpenAttempt",
    "OpenOutcome",
    "OpenResult",
    "QuarantineState",
    "RegistryConfig",
    "RequestSpec",
    "ServerFailed",
    "ServerFault",
    "SetTimer",
    "Started",
    "SuspectConfig",
    "SuspectTracker",
    "Target",
    "Timer",
]
