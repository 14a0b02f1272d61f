"""Admission core of a backend server: decides which streams its engine runs, and when.

It fills the engine with batch streams while online streams meet their latency targets.
It does no I/O: the caller passes in events and the time, and executes the effects that
are returned.
"""

from ._admission import Admission
from ._config import AdmissionConfig, admission_config
from ._messages import (
    AdmissionEffect,
    AdmissionEvent,
    PreemptStream,
    PullBatch,
    ReleaseStream,
    ResumeStream,
    ShedStream,
    StartStream,
    StreamEnded,
    StreamOffered,
    Tick,
    TokensArrived,
)
from ._prompt_tokens import count_prompt_tokens, prompt_text

__all__ = [
    "Admission",
    "AdmissionConfig",
    "AdmissionEffect",
    "AdmissionEvent",
    "PreemptStream",
    "PullBatch",
    "ReleaseStream",
    "ResumeStream",
    "ShedStream",
    "StartStream",
    "StreamEnded",
    "StreamOffered",
    "Tick",
    "TokensArrived",
    "admission_config",
    "count_prompt_tokens",
    "prompt_text",
]
