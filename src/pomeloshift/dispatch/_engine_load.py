"""The load that an engine reports in its responses."""

import attrs


@attrs.frozen
class EngineLoad:
    """The numbers of an engine's running and waiting requests and of its slots."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class EngineReport:
    """What an engine reports when it is asked: its load and its incarnation."""

    load: EngineLoad
    incarnation: int
