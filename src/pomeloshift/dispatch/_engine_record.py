"""What an engine says of itself in the list of engines."""

import attrs


@attrs.frozen
class EngineRecord:
    """One engine's entry.

    ``incarnation`` is the start time that the engine gives; an engine that starts
    again under its id has another one.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    incarnation: int
