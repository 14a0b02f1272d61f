"""The record of one engine in the list of engines."""

import attrs


@attrs.frozen
class EngineRecord:
    """What an engine publishes about itself.

    ``slots`` is the number of requests that it runs concurrently. ``incarnation`` is
    the start time that the engine reports; it changes when the engine restarts under
    the same id.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    incarnation: int
