"""A piece of control work whose cost is measured at several sizes."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs


@attrs.frozen
class Outcome:
    """What a run of a workload leaves behind.

    ``kept`` is the state that a process keeps, and ``wire_bytes`` are the bytes that
    crossed connections or went to the log.
    """

    kept: Any
    wire_bytes: int = 0


class Run(Protocol):
    """Does the work on prepared input."""

    def __call__(self, prepared: Any, /) -> Outcome:
        """Returns what the work leaves behind."""


@attrs.frozen
class Workload:
    """Work of one role that grows with the number of some unit.

    ``prepare`` makes the input for that many units; it is not measured. ``repeats``
    is how often a run does the work for each unit.
    """

    role: str
    work: str
    unit: str
    prepare: Callable[[int], Any]
    run: Run
    sizes: tuple[int, ...] = (100, 300, 1000)
    repeats: int = 1
