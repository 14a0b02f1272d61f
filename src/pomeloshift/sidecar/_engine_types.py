"""What an engine answers on its control interface."""

import attrs


@attrs.frozen
class EngineEnd:
    """The end of a stream's answer.

    ``whole`` is set if the answer reached its end marker; a cancelled stream ends
    without.
    """

    status: int
    content_type: str
    whole: bool


@attrs.frozen
class EngineLoadSnapshot:
    """The load as the engine saw it some time ago; memory is in tokens."""

    at: float = 0.0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    kv_tokens_used: int = 0
    kv_tokens: int = 0
    sequence: int = 0


@attrs.frozen
class EngineServes:
    """What the engine serves after an order."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    fencing_number: int = 0
