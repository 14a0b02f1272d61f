"""The load that an engine reports in its responses."""

import attrs


@attrs.frozen
class EngineLoad:
    """The numbers of an engine's running and waiting requests and of its slots.

    ``slowdown`` is how long work takes on the engine's machine at the moment, as a
    multiple of the usual time; None if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@attrs.frozen
class EngineReport:
    """What an engine reports when it is asked: its load and its incarnation."""

    load: EngineLoad
    incarnation: int
