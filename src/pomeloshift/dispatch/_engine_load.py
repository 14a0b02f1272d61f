"""An engine's load as its answers tell it."""

import attrs


@attrs.frozen
class EngineLoad:
    """Requests that run and wait at an engine and its places."""

    running: int
    waiting: int
    slots: int
