"""Decides which streams a backend server's engine runs, and when."""

from ._messages import (
    AdmissionEffect,
    AdmissionEvent,
    BatchWanted,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    StreamOffered,
    TakeBackStream,
    Tick,
    TokensArrived,
)

__all__ = [
    "AdmissionEffect",
    "AdmissionEvent",
    "BatchWanted",
    "ReleaseStream",
    "ResumeStream",
    "ShedStream",
    "StartStream",
    "StreamEnded",
    "StreamOffered",
    "TakeBackStream",
    "Tick",
    "TokensArrived",
]
