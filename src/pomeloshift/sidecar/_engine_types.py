"""Results of calls to an engine."""

import attrs


@attrs.frozen
class EngineEnd:
    """The end of a stream's response.

    ``whole`` states that the response is complete. A cancelled stream and an event
    stream without its end marker are incomplete.
    """

    status: int
    content_type: str
    whole: bool


@attrs.frozen
class EngineLoadSnapshot:
    """The engine's load, measured at its time ``at``; KV cache sizes are in tokens."""

    at: float = 0.0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    kv_tokens_used: int = 0
    kv_tokens: int = 0
    sequence: int = 0


@attrs.frozen
class EngineServes:
    """The models, adapters, version and role that an engine serves."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    fencing_number: int = 0
