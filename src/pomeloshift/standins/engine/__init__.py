"""A stand-in for model engines: a simulation of step times, and its HTTP server."""

from ._model import EngineModel
from ._server import EngineServer
from ._settings import EngineSettings
from ._text import Generation, expected_answer, generation_for
from ._work import (
    BLOCK_TOKENS,
    CacheEvent,
    EngineCrashed,
    EngineLoad,
    EngineOutput,
    EngineWork,
    FirstToken,
    WorkFinished,
)

__all__ = [
    "BLOCK_TOKENS",
    "CacheEvent",
    "EngineCrashed",
    "EngineLoad",
    "EngineModel",
    "EngineOutput",
    "EngineServer",
    "EngineSettings",
    "EngineWork",
    "FirstToken",
    "Generation",
    "WorkFinished",
    "expected_answer",
    "generation_for",
]
