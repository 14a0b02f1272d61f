"""Control work whose cost is measured at several sizes."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs


@attrs.frozen
class Outcome:
    """The outcome of one run of a workload.

    ``state`` is what a process retains in memory. ``wire_bytes`` were sent over
    connections or appended to the log.
    """

    state: Any
    wire_bytes: int = 0


class Run(Protocol):
    """Runs the work on prepared input."""

    def __call__(self, prepared: Any, /) -> Outcome:
        """Returns the retained state and the bytes sent."""


@attrs.frozen
class Workload:
    """Work of one role whose cost grows with the number of units.

    ``unit`` names what is counted. ``prepare`` makes the input for a number of units
    and is not measured. ``repeats`` is how many times a run does the work.
    """

    role: str
    work: str
    unit: str
    prepare: Callable[[int], Any]
    run: Run
    sizes: tuple[int, ...] = (100, 300, 1000)
    repeats: int = 1
