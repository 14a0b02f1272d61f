"""Decides which streams a backend server's engine runs, and when."""

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
    "PullBatch",
    "ReleaseStream",
    "ResumeStream",
    "ShedStream",
    "StartStream",
    "StreamEnded",
    "StreamOffered",
    "PreemptStream",
    "Tick",
    "TokensArrived",
    "admission_config",
    "count_prompt_tokens",
    "prompt_text",
]
