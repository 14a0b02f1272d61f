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
from ._prompt_tokens import count_prompt_tokens, prompt_text

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
    "count_prompt_tokens",
    "prompt_text",
]
