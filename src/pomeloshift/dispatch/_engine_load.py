"""The load that an engine reports in its responses."""

import attrs


@attrs.frozen
class EngineLoad:
    """The numbers of running and waiting requests at an engine, and of its slots."""

    running: int
    waiting: int
    slots: int
